//! A toy backend server and a toy discovery, to try the node with:
//!
//!     cargo run --release --example toy_server
//!
//! The backend server listens on 127.0.0.1:9001 and serves any job in 50 ms with a line of text. The
//! discovery listens on 127.0.0.1:9500 and never has any news. `examples/config.json` names both.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::Duration;

const SERVER: &str = "127.0.0.1:9001";
const DISCOVERY: &str = "127.0.0.1:9500";

/// One request: its first line, its id and its body; `None` once the connection has ended.
fn request(from: &mut BufReader<TcpStream>) -> std::io::Result<Option<(String, String, Vec<u8>)>> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("request-id") => id = value.to_string(),
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().unwrap_or(0)
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok(Some((first, id, body)))
}

/// One line of an answer in chunks.
fn chunk(to: &mut TcpStream, line: &str) -> std::io::Result<()> {
    write!(to, "{:x}\r\n{line}\n\r\n", line.len() + 1)
}

const BEGIN: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn serve_jobs(stream: TcpStream) -> std::io::Result<()> {
    let mut to = stream.try_clone()?;
    let mut from = BufReader::new(stream);
    // Or the second line of an answer would wait until the first is acknowledged, 40 ms and more.
    to.set_nodelay(true)?;
    while let Some((first, id, body)) = request(&mut from)? {
        println!("job {id}: {} with {} bytes", first.trim_end(), body.len());
        to.write_all(BEGIN)?;
        let state = |state: &str| format!(r#"{{"id":"{id}","from":"toy","state":"{state}""#);
        chunk(&mut to, &format!("{}}}", state("started")))?;
        sleep(Duration::from_millis(50));
        chunk(&mut to, &format!(r#"{},"result":"served by the toy\n"}}"#, state("done")))?;
        to.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

fn watch(stream: TcpStream) -> std::io::Result<()> {
    let mut to = stream.try_clone()?;
    request(&mut BufReader::new(stream))?;
    to.write_all(BEGIN)?;
    loop {
        chunk(&mut to, "")?;
        sleep(Duration::from_secs(2));
    }
}

fn listen(address: &str, each: fn(TcpStream) -> std::io::Result<()>) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    println!("listening on {address}");
    for stream in listener.incoming() {
        let stream = stream?;
        // A connection that ends is no concern of the others.
        spawn(move || each(stream));
    }
    Ok(())
}

fn main() -> std::io::Result<()> {
    spawn(|| listen(DISCOVERY, watch).expect("the toy discovery has to listen"));
    listen(SERVER, serve_jobs)
}
