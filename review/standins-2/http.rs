//! HTTP/1.1 as far as the stand-ins need it: heads, bodies with a length or in chunks, and answers with a length.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;

/// Start line and headers of a request or an answer.
pub struct Head {
    /// Words of the start line.
    pub words: Vec<String>,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header; empty if it is missing. `name` is in lower case.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(other, _)| other == name).map_or("", |(_, value)| value)
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the stated length of the body; 0 if there is none.
    pub fn length(&self) -> usize {
        self.header("content-length").parse().unwrap_or(0)
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").eq_ignore_ascii_case("close")
    }
}

/// Reads a head. Returns `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if lines.is_empty() { Ok(None) } else { Err(Error::from(ErrorKind::UnexpectedEof)) };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let mut lines = lines.into_iter();
    let words = lines.next().unwrap_or_default().split(' ').map(str::to_owned).collect();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    });
    Ok(Some(Head { words, headers: headers.collect() }))
}

/// Reads the body that belongs to a head.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    if !head.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        let mut body = vec![0; head.length()];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        reader.read_line(&mut String::new())?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Writes an answer with these header lines and a body.
pub fn write_answer(stream: &mut TcpStream, status: &str, headers: &[String], body: &[u8]) -> Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}
