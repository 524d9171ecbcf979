//! A proxy on the loopback between two processes, which delays, resets, silences or cuts one
//! way what passes through it.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes passed on at a time.
const BUFFER_BYTES: usize = 16 * 1_024;

/// What the proxy does with what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum ProxyMode {
    /// Nothing.
    #[default]
    #[display("pass")]
    Pass,
    /// It holds each piece back.
    #[display("delay of {_0:?}")]
    Delay(Duration),
    /// It resets connections.
    #[display("reset")]
    Reset,
    /// It lets nothing through, either way.
    #[display("silent")]
    Silent,
    /// What the server says is lost.
    #[display("answers lost")]
    AnswersLost,
}

/// The way of bytes through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// A running proxy; it ends when it is dropped.
pub struct Proxy {
    /// Where clients connect.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `server`.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(watch::Sender::new(ProxyMode::Pass));
        let modes = mode.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(serve(client, server, modes.subscribe()));
            }
        });
        Ok(Self { address, mode, accepting })
    }

    /// Begins or ends a fault; connections that are open meet it too.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn serve(client: TcpStream, server: SocketAddr, mode: watch::Receiver<ProxyMode>) {
    if *mode.borrow() == ProxyMode::Reset {
        let _ = client.set_zero_linger();
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let resets = [client.set_zero_linger(), server.set_zero_linger()];
    if resets.iter().any(Result::is_err) {
        return;
    }
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let mut reset_watcher = mode.clone();
    // When either way ends, or a reset begins, both connections are reset.
    tokio::select! {
        () = forward(client_in, server_out, Direction::ToServer, mode.clone()) => {}
        () = forward(server_in, client_out, Direction::ToClient, mode) => {}
        _ = reset_watcher.wait_for(|mode| *mode == ProxyMode::Reset) => {}
    }
}

async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    direction: Direction,
    mut mode: watch::Receiver<ProxyMode>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        // What a silent link holds up arrives when it speaks again.
        if mode.wait_for(|mode| *mode != ProxyMode::Silent).await.is_err() {
            return;
        }
        let current_mode = *mode.borrow();
        match current_mode {
            ProxyMode::Delay(delay) => sleep(delay).await,
            ProxyMode::AnswersLost if direction == Direction::ToClient => continue,
            _ => {}
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
