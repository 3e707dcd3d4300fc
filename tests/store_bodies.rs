//! Properties of the decoders of the store's bodies, over random numbers and damaged pages.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use crocustiller::{
    json_parts,
    platform::{
        store::{Changes, Listing, Metadata, Store, StoreError, StoredObject},
        wire_config, wire_objects, wire_server, ContactAges, StorePoint,
    },
    runtime,
};
use crocustiller_standins::raw_http::{ScriptedServer, Step};
use proptest::{prelude::*, sample::select};
use serde_json::{json, Value};

/// Longest time, and greatest number of slots and pieces, with which sums and products are safe.
const MAX_TIME: Duration = Duration::from_secs(7 * 24 * 60 * 60);
const MAX_COUNT: u32 = 1 << 16;

/// Numbers of all sizes, the limits of the types among them.
fn any_number() -> impl Strategy<Value = Value> {
    let limits = [u64::from(u16::MAX), u64::from(u32::MAX), i64::MAX as u64, u64::MAX];
    prop_oneof![
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u32>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (-300_i32..300).prop_map(|it| Value::from(10_f64.powi(it))),
        select(limits.to_vec()).prop_map(Value::from),
    ]
}

fn object(name: &str, spec: Value) -> StoredObject {
    let metadata = Metadata { name: name.to_owned(), revision: u64::MAX };
    StoredObject { metadata, spec }
}

thread_local! {
    /// One store for all cases of a test.
    static STORE: BodyStore = BodyStore::start();
}

/// A store that answers every call with the same body.
struct BodyStore {
    store: Store,
    body: Arc<Mutex<Vec<u8>>>,
    _server: ScriptedServer,
}

impl BodyStore {
    fn start() -> BodyStore {
        let body: Arc<Mutex<Vec<u8>>> = Arc::default();
        let served = body.clone();
        let server = ScriptedServer::start(move |_| {
            let body = served.lock().unwrap();
            let head = format!("HTTP/1.1 200 x\r\nContent-Length: {}\r\n\r\n", body.len());
            vec![Step::Send([head.as_bytes(), &body].concat())]
        })
        .unwrap();
        BodyStore { store: Store::new(server.address()), body, _server: server }
    }

    fn list(&self, body: &[u8]) -> Result<Listing, StoreError> {
        *self.body.lock().unwrap() = body.to_vec();
        runtime::run_local(self.store.list_stale("servers"))
    }

    fn watch(&self, body: &[u8]) -> Result<Changes, StoreError> {
        *self.body.lock().unwrap() = body.to_vec();
        let at = StorePoint { generation: 0, revision: 1 };
        runtime::run_local(self.store.watch("servers", at, Duration::ZERO))
    }
}

fn list(body: &[u8]) -> Result<Listing, StoreError> {
    STORE.with(|it| it.list(body))
}

fn watch(body: &[u8]) -> Result<Changes, StoreError> {
    STORE.with(|it| it.watch(body))
}

/// Texts of values that a decoder may fail at; their brackets and quotation marks are balanced.
fn any_odd_value() -> impl Strategy<Value = Vec<u8>> {
    let nested = |it: usize| [b"{\"a\":[".repeat(it), b"]}".repeat(it)].concat();
    let fixed: [&[u8]; 12] = [
        b"1e400",
        b"-1e-400",
        b"NaN",
        b"01",
        b"nul",
        b"\"\xff\xfe\"",
        b"\"\\ud800\"",
        b"\"\x00\n\"",
        b"\"\\\"]}[{,\\\\\"",
        b"{\"a\":1,\"a\":2}",
        b"{\"name\":\"x\",\"name\":[]}",
        b"\"\\x\"",
    ];
    let fixed: Vec<Vec<u8>> = fixed.map(<[u8]>::to_vec).to_vec();
    prop_oneof![
        select(fixed),
        (1_usize..2000).prop_map(nested),
        (20_usize..500).prop_map(|it| b"9".repeat(it)),
        any_json().prop_map(|it| serde_json::to_vec(&it).unwrap()),
    ]
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any_number(),
        ".{0,8}".prop_map(Value::from),
    ];
    leaf.prop_recursive(6, 32, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map(".{0,4}", inner, 0..4)
                .prop_map(|it| it.into_iter().collect()),
        ]
    })
}

/// Texts of entries with a value that a decoder may fail at in one place, or in place of the entry.
fn any_odd_entry() -> impl Strategy<Value = Vec<u8>> {
    let places: [(&str, &str); 6] = [
        (r#"{"metadata":{"name":"odd","revision":1},"spec":"#, "}"),
        (r#"{"metadata":{"name":"odd","revision":1},"spec":{"slots":"#, "}}"),
        (r#"{"metadata":{"name":"odd","revision":"#, r#"},"spec":{}}"#),
        (r#"{"metadata":{"name":"#, r#"},"spec":{}}"#),
        (r#"{"metadata":"#, "}"),
        ("", ""),
    ];
    let fill = |((before, after), value): ((&str, &str), Vec<u8>)| {
        [before.as_bytes(), &value, after.as_bytes()].concat()
    };
    (select(places.to_vec()), any_odd_value()).prop_map(fill)
}

/// A list of entries; `None` stands for a sound one.
fn any_entries() -> impl Strategy<Value = Vec<Option<Vec<u8>>>> {
    prop::collection::vec(prop::option::of(any_odd_entry()), 0..12)
}

fn sound_object(number: usize) -> StoredObject {
    object(&format!("sound-{number}"), json!({ "slots": number, "zone": "a\"]}" }))
}

/// Returns the text of each entry, and the objects of the sound ones.
fn texts_of(entries: Vec<Option<Vec<u8>>>) -> (Vec<Vec<u8>>, Vec<StoredObject>) {
    let mut sound = Vec::new();
    let text = |(number, entry): (usize, Option<Vec<u8>>)| {
        entry.unwrap_or_else(|| {
            sound.push(sound_object(number));
            serde_json::to_vec(&sound_object(number)).unwrap()
        })
    };
    (entries.into_iter().enumerate().map(text).collect(), sound)
}

fn page_of(texts: &[Vec<u8>]) -> Vec<u8> {
    [b"{\"items\" : [", &texts.join(&b" ,\n"[..])[..], b"], \"more\":false, \"at\": 9}"].concat()
}

fn events_of(texts: &[Vec<u8>]) -> Vec<u8> {
    let event = |it: &Vec<u8>| [b"{\"object\":", &it[..], b",\"deleted\":false}"].concat();
    let events: Vec<Vec<u8>> = texts.iter().map(event).collect();
    [b"{\"events\":[", &events.join(&b","[..])[..], b"],\"at\":9}"].concat()
}

fn names_of(listing: &Listing) -> Vec<Metadata> {
    listing.objects.iter().map(|it| it.metadata.clone()).collect()
}

fn is_sound(object: &StoredObject) -> bool {
    object.metadata.name.starts_with("sound-")
}

proptest! {
    /// The sound entries of a well-formed page are all kept, in order, also through an entry host.
    #[test]
    fn sound_entries_are_kept(entries in any_entries()) {
        let (texts, sound) = texts_of(entries);
        let listing = list(&page_of(&texts)).unwrap();
        let relayed = list(&wire_objects::encode_listing(&listing, ContactAges::default()).body).unwrap();
        prop_assert_eq!(names_of(&relayed), names_of(&listing));
        for objects in [listing.objects, relayed.objects] {
            let listed: Vec<StoredObject> = objects.into_iter().filter(is_sound).collect();
            prop_assert_eq!(&listed, &sound);
        }
        let changes = watch(&events_of(&texts)).unwrap();
        let changed: Vec<StoredObject> =
            changes.events.into_iter().map(|it| it.object).filter(is_sound).collect();
        prop_assert_eq!(changed, sound);
    }

    /// Damaged pages end in a result, whatever it is.
    #[test]
    fn damaged_pages_end_nothing(
        entries in any_entries(),
        damages in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        end in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let (texts, _) = texts_of(entries);
        for mut body in [page_of(&texts), events_of(&texts)] {
            for (at, byte) in &damages {
                let length = body.len();
                body[at.index(length)] = *byte;
            }
            body.truncate(end.map_or(body.len(), |it| it.index(body.len())));
            drop(list(&body));
            drop(watch(&body));
            // A page that is cut before its end must not be taken for a short one.
            if end.is_some() && damages.is_empty() {
                prop_assert!(list(&body).is_err() && watch(&body).is_err());
            }
        }
    }

    /// Parts are those that a decoder of the whole text finds.
    #[test]
    fn parts_equal_decoded_whole(value in any_json()) {
        let text = serde_json::to_string_pretty(&value).unwrap().into_bytes();
        let decode = |it: &[u8]| serde_json::from_slice::<Value>(it).unwrap();
        // Decoding rounds numbers.
        let value = decode(&text);
        let items = json_parts::items(&text).map(|it| it.into_iter().map(decode).collect());
        prop_assert_eq!(items, value.as_array().cloned());
        let members = json_parts::members(&text);
        let members = members.map(|it| it.into_iter().map(|it| (it.0, decode(it.1))).collect());
        prop_assert_eq!(members, value.as_object().cloned());
    }

    /// Numbers in a server's entry that later are summed or multiplied are bounded.
    #[test]
    fn numbers_of_servers_are_bounded(numbers in prop::array::uniform6(any_number())) {
        let [slots, born, version, from, target, layers_version] = numbers;
        let spec = json!({
            "service": "pool", "address": "127.0.0.1:1", "zone": "depot", "state": "ready",
            "slots": slots, "born": born, "models": [{ "name": "lots", "version": version }],
            "layers": [{ "from": from, "target": target, "version": layers_version }],
        });
        if let Ok(server) = wire_server::decode_server(&object("pool-0", spec)) {
            prop_assert!(server.slots <= MAX_COUNT, "{server:?}");
        }
    }

    /// Numbers in a configuration that later are added to times, summed or multiplied are bounded.
    #[test]
    fn numbers_of_configurations_are_bounded(
        replaced in prop::collection::vec((0..14_usize, any_number()), 1..3),
        random in 0.0..1.0,
    ) {
        let mut numbers = [(); 14].map(|()| json!(100));
        for (idx, number) in replaced {
            numbers[idx] = number;
        }
        let [timeout, goal, header, idle, step, warm, weight, other_weight, slots, layers, chunks, bytes, rate, link] =
            numbers;
        let spec = json!({
            "version": 1,
            "routes": [{
                "host": "a", "path-prefix": "/", "route-type": "idempotent", "timeout-ms": timeout,
                "goal-ms": goal, "backends": [
                    { "service": "pool", "weight": weight },
                    { "service": "pool", "weight": other_weight },
                ],
            }],
            "services": [{
                "name": "pool", "origin": "127.0.0.1:1", "link-mbps": link, "engine": {
                    "slots": slots, "models": [{ "name": "lots", "warm-s": warm }],
                    "step_ms": step, "read_per_s": rate, "layers": layers, "chunks": chunks,
                    "chunk-bytes": bytes,
                },
            }],
            "limits": {
                "max-header-bytes": 4096, "max-body-bytes": 65536, "header-timeout-ms": header,
                "idle-timeout-ms": idle,
            },
        });
        let Ok(Some(charter)) = wire_config::decode_config(&object("main", spec)) else {
            return Ok(());
        };
        let route = &charter.routes["a"][0];
        let engine = charter.services["pool"].engine.as_ref().unwrap();
        let limits = &charter.limits;
        for time in [
            route.timeout,
            route.latency_objective,
            limits.head_timeout,
            limits.idle_timeout,
            engine.step,
            engine.models[0].load,
        ] {
            prop_assert!(time <= MAX_TIME, "{charter:?}");
        }
        prop_assert!(engine.slots <= MAX_COUNT && engine.n_pieces <= MAX_COUNT, "{engine:?}");
        prop_assert!(route.choose_service(random).is_some());
    }
}
