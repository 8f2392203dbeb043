//! A proxy between the machines and the store. Connections that carry no bytes at a moment can be made to go
//! silent for good: they stay open, and nothing that is sent on them arrives. New ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

struct Link {
    /// When bytes last passed, in milliseconds since the start.
    last: AtomicU64,
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

#[derive(Clone)]
pub struct Proxy {
    links: Arc<Mutex<Vec<Arc<Link>>>>,
    started: Instant,
    pub address: SocketAddr,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let proxy = Proxy { links: Arc::default(), started: Instant::now(), address };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let link = Arc::new(Link {
                    last: AtomicU64::new(accepting.now()),
                    is_silent: AtomicBool::new(false),
                    is_closed: AtomicBool::new(false),
                });
                accepting.links.lock().unwrap().push(link.clone());
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let (proxy, link) = (accepting.clone(), link.clone());
                    thread::spawn(move || proxy.carry(&link, from, to));
                }
            }
        });
        proxy
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn carry(&self, link: &Link, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 64 << 10];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            if link.is_silent.load(Ordering::Relaxed) {
                continue;
            }
            link.last.store(self.now(), Ordering::Relaxed);
            if to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        link.is_closed.store(true, Ordering::Relaxed);
        // The end of a silent connection doesn't arrive either.
        if !link.is_silent.load(Ordering::Relaxed) {
            let _ = to.shutdown(Shutdown::Write);
        } else {
            thread::sleep(Duration::from_secs(120));
        }
    }

    /// Makes the open connections go silent that have carried nothing for `idle`, and returns how many of how many.
    pub fn silence(&self, idle: Duration) -> (usize, usize) {
        let links = self.links.lock().unwrap();
        let open: Vec<_> =
            links.iter().filter(|it| !it.is_closed.load(Ordering::Relaxed)).collect();
        let (now, idle) = (self.now(), idle.as_millis() as u64);
        let quiet = open.iter().filter(|it| it.last.load(Ordering::Relaxed) + idle <= now);
        let count = quiet.map(|it| it.is_silent.store(true, Ordering::Relaxed)).count();
        (count, open.len())
    }
}
