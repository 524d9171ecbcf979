//! Cuts between single processes and a stand-in server, by the processes' source addresses.
//!
//! A silent cut drops packets in the kernel, so that connecting times out and open connections get
//! neither acknowledgements nor resets, as behind a partition.

use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::os::fd::AsFd;
use std::pin::pin;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use socket2::SockFilter;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// `BPF_LD | BPF_W | BPF_ABS`: loads four bytes of the packet.
const BPF_LOAD_WORD: u16 = 0x20;
/// `BPF_JMP | BPF_JEQ | BPF_K`: jumps if the loaded value equals a constant.
const BPF_JUMP_IF_EQUAL: u16 = 0x15;
/// `BPF_RET | BPF_K`: ends the program; 0 drops the packet.
const BPF_RETURN: u16 = 0x06;
/// Offset of the source address in the IPv4 header, counted from `SKF_NET_OFF`.
const SOURCE_ADDRESS_OFFSET: u32 = 0xfff0_0000 + 12;
/// Result of a filter that accepts the whole packet.
const ACCEPT: u32 = u32::MAX;
/// Maximum number of sources in a filter, whose jumps are at most 255 instructions long.
const FILTERED_SOURCES_MAX: usize = 200;

/// What a cut does to the connections of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutMode {
    /// Nothing arrives: connecting times out, open connections hang.
    #[display("silent")]
    Silent,
    /// Open connections are reset, and so are new ones once they are accepted.
    #[display("reset")]
    Reset,
    /// New connections are reset once they are accepted; open ones live on.
    #[display("new connections refused")]
    NewRefused,
    /// Connections are accepted, new ones, too, and nothing that arrives is read or answered.
    #[display("unanswered")]
    Unanswered,
}

/// Sources that are cut off, with the mode of each cut.
pub type CutSources = BTreeMap<Ipv4Addr, CutMode>;

/// Cuts of one stand-in server.
#[derive(Debug)]
pub struct LinkCuts {
    sources: watch::Sender<CutSources>,
}

impl Default for LinkCuts {
    fn default() -> Self {
        Self { sources: watch::Sender::new(CutSources::new()) }
    }
}

impl LinkCuts {
    /// Replaces all cuts.
    pub fn set(&self, sources: CutSources) {
        self.sources.send_replace(sources);
    }

    /// Accepts the next connection whose source may connect.
    pub async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let mut sources = self.sources.subscribe();
        loop {
            filter_sources(listener, &sources.borrow_and_update())?;
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // The sender lives as long as `self`.
                _ = sources.changed() => continue,
            };
            let (stream, _) = accepted?;
            match self.mode_of(source_of(&stream)) {
                Some(CutMode::Reset | CutMode::NewRefused) => stream.set_zero_linger()?,
                Some(CutMode::Silent | CutMode::Unanswered) | None => return Ok(stream),
            }
        }
    }

    /// Runs `serving`, which serves a connection of `stream`'s peer, through all cuts.
    ///
    /// # Errors
    ///
    /// The socket cannot be duplicated or configured.
    pub async fn serve<F: Future<Output = ()>>(
        &self,
        stream: TcpStream,
        serving: impl FnOnce(TcpStream) -> F,
    ) -> io::Result<()> {
        let source = source_of(&stream);
        let socket = stream.as_fd().try_clone_to_owned()?;
        let mut sources = self.sources.subscribe();
        let mut serving = pin!(serving(stream));
        loop {
            let mode = source.and_then(|source| sources.borrow_and_update().get(&source).copied());
            match mode {
                None | Some(CutMode::NewRefused) => {
                    filter_all(&socket, ACCEPT)?;
                    tokio::select! {
                        () = serving.as_mut() => return Ok(()),
                        _ = sources.changed() => {}
                    }
                }
                Some(CutMode::Silent) => {
                    filter_all(&socket, 0)?;
                    let _ = sources.changed().await;
                }
                Some(CutMode::Unanswered) => {
                    filter_all(&socket, ACCEPT)?;
                    let _ = sources.changed().await;
                }
                Some(CutMode::Reset) => {
                    SockRef::from(&socket).set_linger(Some(Duration::ZERO))?;
                    return Ok(());
                }
            }
        }
    }

    fn mode_of(&self, source: Option<Ipv4Addr>) -> Option<CutMode> {
        self.sources.borrow().get(&source?).copied()
    }
}

fn source_of(stream: &TcpStream) -> Option<Ipv4Addr> {
    match stream.peer_addr().ok()?.ip() {
        IpAddr::V4(source) => Some(source),
        IpAddr::V6(_) => None,
    }
}

/// Drops the packets of silent sources that arrive at a listening socket.
fn filter_sources(listener: &TcpListener, sources: &CutSources) -> io::Result<()> {
    let silent = sources.iter().filter(|(_, mode)| **mode == CutMode::Silent);
    let silent: Vec<u32> =
        silent.map(|(source, _)| u32::from(*source)).take(FILTERED_SOURCES_MAX).collect();
    let mut program = vec![SockFilter::new(BPF_LOAD_WORD, 0, 0, SOURCE_ADDRESS_OFFSET)];
    for (index, source) in silent.iter().enumerate() {
        // Jumps over the remaining comparisons and the accepting return.
        let to_drop = silent.len() - index;
        let to_drop = u8::try_from(to_drop).map_err(io::Error::other)?;
        program.push(SockFilter::new(BPF_JUMP_IF_EQUAL, to_drop, 0, *source));
    }
    program.push(SockFilter::new(BPF_RETURN, 0, 0, ACCEPT));
    program.push(SockFilter::new(BPF_RETURN, 0, 0, 0));
    SockRef::from(listener).attach_filter(&program)
}

fn filter_all(socket: &impl AsFd, result: u32) -> io::Result<()> {
    SockRef::from(socket).attach_filter(&[SockFilter::new(BPF_RETURN, 0, 0, result)])
}
