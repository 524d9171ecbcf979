//! TCP proxy on the loopback interface between two processes. Delays or holds back the forwarded
//! bytes, resets connections, or drops the bytes of one direction.

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

/// Maximum number of bytes read and forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Fault that the proxy injects into its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum ProxyMode {
    /// The proxy forwards all bytes without delay.
    #[default]
    #[display("pass")]
    Pass,
    /// The proxy delays each chunk of bytes.
    #[display("delay of {_0:?}")]
    Delay(Duration),
    /// The proxy resets open and new connections.
    #[display("reset")]
    Reset,
    /// The proxy holds back the bytes of both directions until the mode changes.
    #[display("silent")]
    Silent,
    /// The proxy drops all bytes that the server sends.
    #[display("answers lost")]
    AnswersLost,
}

/// Direction in which bytes are forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Running proxy; stops accepting connections when it is dropped.
pub struct Proxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<ProxyMode>>,
    accepting: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `server`.
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

    /// Starts or ends a fault, for open connections as well as for new ones.
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
    // Both connections are reset as soon as one direction ends or the mode changes to `Reset`.
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
        // Bytes that are held back in silent mode are forwarded when the mode changes.
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
