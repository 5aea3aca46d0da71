//! A path of the network that can hold what is sent on it. What was sent before its sender ended is delivered
//! when the path works again, as TCP does after a short partition.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

pub struct Relay {
    pub address: SocketAddr,
    held: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> Relay {
        let held = Arc::new(AtomicBool::new(false));
        let listener = TcpListener::bind(listen).expect("the relay's address is free");
        let address = listener.local_addr().unwrap();
        let state = held.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let held = state.clone();
                thread::spawn(move || drop(forward(stream, to, &held)));
            }
        });
        Relay { address, held }
    }

    pub fn hold(&self, held: bool) {
        self.held.store(held, Ordering::SeqCst);
    }
}

fn wait(held: &AtomicBool) {
    while held.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn forward(mut client: TcpStream, to: SocketAddr, held: &AtomicBool) -> std::io::Result<()> {
    let (sender, received) = mpsc::channel::<Vec<u8>>();
    let mut reader = client.try_clone()?;
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = reader.read(&mut buffer) {
            if sender.send(buffer[..count].to_vec()).is_err() {
                return;
            }
        }
    });
    wait(held);
    let mut server = TcpStream::connect(to)?;
    let mut answers = server.try_clone()?;
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(count @ 1..) = answers.read(&mut buffer) {
            if client.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let _ = client.shutdown(Shutdown::Both);
    });
    for bytes in received {
        wait(held);
        server.write_all(&bytes)?;
    }
    thread::sleep(Duration::from_millis(500));
    server.shutdown(Shutdown::Both)
}
