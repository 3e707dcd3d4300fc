//! Runs the executable of the command-line tool against one entry host in the test process.

#![allow(dead_code, reason = "not every test uses all of it")]

use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
    sync::Arc,
};

use crocustiller::{
    digest::Digest,
    membership::HostState,
    net::{HttpServer, ServerLimits},
    node::Node,
    operator::{self, OperatorContext},
    settings::Settings,
    weights::WeightsStage,
};
use crocustiller_standins::PlatformStandin;

/// The operator token that the entry host accepts.
pub const TOKEN: &str = "operator-token-of-the-test";
/// An address on which no process listens.
pub const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// One entry host, a stand-in for its platform, and a directory for the files of a test.
pub struct Deployment {
    pub node: Arc<Node>,
    /// Receives a message when an operator requests the host to leave.
    pub leave: async_channel::Receiver<()>,
    pub operator_address: SocketAddr,
    directory: tempfile::TempDir,
    server: HttpServer,
    pub platform: PlatformStandin,
}

/// The exit code and the output of one run of the tool; the code is -1 if a signal ended it.
#[derive(Debug)]
pub struct ToolOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Deployment {
    pub async fn start() -> Deployment {
        let directory = tempfile::tempdir().unwrap();
        std::fs::write(directory.path().join("peer.key"), "a shared secret for tests").unwrap();
        std::fs::write(directory.path().join("token"), TOKEN).unwrap();
        let platform = PlatformStandin::start(([127, 0, 0, 1], 0).into()).await.unwrap();
        let node = Node::new(settings(&directory, platform.address()));
        let (sender, leave) = async_channel::bounded(1);
        let context = OperatorContext {
            leave: sender,
            request_history: node.request_history.clone(),
            weights: WeightsStage::new(node.clone()),
        };
        let handler = operator::handler(node.clone(), Arc::new(context));
        let address = ([127, 0, 0, 1], 0).into();
        let server = HttpServer::bind(address, ServerLimits::default(), handler).await.unwrap();
        let operator_address = server.address();
        node.membership.update_own(|it| {
            it.operator_address = operator_address;
            it.state = HostState::Live;
        });
        Deployment { node, leave, operator_address, directory, server, platform }
    }

    /// Writes a file into the directory and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Runs the tool with `args` and the options for the entry host and its token.
    ///
    /// In `args`, `{dir}` stands for the directory and `{entry}` for the operator address.
    pub async fn run(&self, args: &str) -> ToolOutput {
        let token = self.directory.path().join("token");
        let defaults =
            format!(" --entry {} --token-file {}", self.operator_address, token.display());
        self.run_without_defaults(&(args.to_owned() + &defaults)).await
    }

    /// Runs the tool with `args` only.
    pub async fn run_without_defaults(&self, args: &str) -> ToolOutput {
        let dir = self.directory.path().display().to_string();
        let args =
            args.replace("{dir}", &dir).replace("{entry}", &self.operator_address.to_string());
        let output = run_tool(args).await;
        ToolOutput {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }

    pub async fn close(self) {
        self.server.close().await;
        self.platform.close().await;
    }
}

/// Runs the tool on a separate thread, as a blocked executor thread would stall the entry host.
async fn run_tool(args: String) -> Output {
    let (sender, receiver) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let output = Command::new(env!("CARGO_BIN_EXE_crocustiller"))
            .args(args.split_whitespace())
            .env_remove("CROCUSTILLER_ENTRY")
            .env_remove("CROCUSTILLER_TOKEN")
            .output()
            .unwrap();
        sender.send_blocking(output).unwrap();
    });
    receiver.recv().await.unwrap()
}

fn settings(directory: &tempfile::TempDir, platform: SocketAddr) -> Settings {
    let text = format!(
        "[host]\nid = entry-1\nrole = entry\nregion = north\nzone = north-a\n\
         [listen]\nrequest = 127.0.0.1:2\npeer = 127.0.0.1:3\noperator = 127.0.0.1:4\n\
         [platform]\naddresses = {platform}\n\
         [secrets]\npeer_key_file = peer.key\noperator_token_digest = {}\n\
         [weights]\norigin = 127.0.0.1:5\n",
        Digest::of(TOKEN.as_bytes())
    );
    Settings::parse(&text, &directory.path().join("entry.ini"))
        .unwrap_or_else(|err| panic!("{err}"))
}
