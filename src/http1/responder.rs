//! A small server for questions that are answered at once from what the process knows.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use async_executor::Task;
use async_io::Async;

use crate::{
    http1::{
        body::{BodyLength, BodyReader},
        connection::Connection,
        head::RequestHead,
        HttpError,
    },
    runtime,
};

/// Longest head of a question.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Longest body of a question, which is dropped.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Time that a connection may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// An answer with a whole body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SmallAnswer {
    /// Status code.
    pub status: u16,
    /// Type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

impl SmallAnswer {
    /// An answer without a body.
    pub fn status(status: u16) -> SmallAnswer {
        SmallAnswer { status, content_type: "text/plain", body: Vec::new() }
    }
}

/// Answers questions at one address until it is closed.
#[derive(Debug)]
pub struct Responder {
    task: Task<()>,
}

impl Responder {
    /// Listens at `address`; `answer` makes each answer.
    pub fn listen(
        address: SocketAddr,
        answer: impl Fn(&RequestHead) -> SmallAnswer + 'static,
    ) -> io::Result<Responder> {
        let listener = Async::<std::net::TcpListener>::bind(address)?;
        let answer = Rc::new(answer);
        let task = runtime::spawn_local(async move {
            loop {
                let stream = match listener.accept().await {
                    Ok((stream, _)) => stream,
                    Err(err) => {
                        log::warn!("http: connection not accepted error=\"{err}\"");
                        runtime::sleep(Duration::from_millis(10)).await;
                        continue;
                    }
                };
                let answer = answer.clone();
                let serve = async move {
                    if let Err(err) = serve(stream, &*answer).await {
                        log::debug!("http: question not answered error=\"{err}\"");
                    }
                };
                runtime::spawn_local(serve).detach();
            }
        });
        Ok(Responder { task })
    }

    /// Stops listening.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

async fn serve(
    stream: Async<std::net::TcpStream>,
    answer: &dyn Fn(&RequestHead) -> SmallAnswer,
) -> Result<(), HttpError> {
    let mut connection = Connection::new(stream)?;
    loop {
        let head = connection.read_request_head(MAX_HEAD_BYTES);
        let head = match runtime::timeout(IDLE_LIMIT, head).await {
            Ok(Err(HttpError::Ended)) | Err(_) => return Ok(()),
            Ok(res) => res?,
        };
        BodyReader::new(BodyLength::of_request(&head)?)
            .read_all(&mut connection, MAX_BODY_BYTES)
            .await?;
        let SmallAnswer { status, content_type, body } = answer(&head);
        let reason = if status == 200 { "OK" } else { "Unavailable" };
        let mut bytes = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&body);
        connection.write(&bytes).await?;
        if head.headers.has_member("connection", "close") {
            connection.end_writing();
            return Ok(());
        }
    }
}
