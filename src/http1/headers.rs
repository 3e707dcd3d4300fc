//! The header fields of a message.

/// Header fields that apply to a single connection and must not be forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// An ordered list of header fields with unchanged names and values.
///
/// Look-ups ignore the case of names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<Field>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: String,
    value: Vec<u8>,
}

impl Headers {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push(Field { name: name.to_owned(), value: value.into() });
    }

    /// Replaces all fields called `name` by one field at the end.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields called `name`.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|it| !it.name.eq_ignore_ascii_case(name));
    }

    /// Returns the values of all fields called `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let has_name = move |it: &&Field| it.name.eq_ignore_ascii_case(name);
        self.fields.iter().filter(has_name).map(|it| it.value.as_slice())
    }

    /// Returns the trimmed value of the first field called `name`, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|it| it.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&field.value).ok().map(str::trim)
    }

    /// Returns the value of the first field called `name`, if it is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// Returns `true` if a field called `name`, read as a comma-separated list, contains `member`.
    pub fn has_member(&self, name: &str, member: &str) -> bool {
        let texts = self.all(name).filter_map(|it| std::str::from_utf8(it).ok());
        texts.flat_map(|it| it.split(',')).any(|it| it.trim().eq_ignore_ascii_case(member))
    }

    /// Removes the hop-by-hop fields and all fields that `Connection` lists.
    pub fn remove_hop_by_hop(&mut self) {
        let listed: Vec<String> = self
            .all("connection")
            .filter_map(|it| std::str::from_utf8(it).ok())
            .flat_map(|it| it.split(','))
            .map(|it| it.trim().to_ascii_lowercase())
            .collect();
        self.fields.retain(|it| {
            let name = it.name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !listed.contains(&name)
        });
    }

    /// Appends the fields to `out` in the format of a head.
    pub(crate) fn write_to(&self, out: &mut Vec<u8>) {
        for field in &self.fields {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
