//! Synced log of a control group with one member.

use std::fs::{File, OpenOptions};
use std::io::{Read as _, Write as _};
use std::path::Path;

use oriolecrank_schema::codec;
use oriolecrank_schema::control::LoggedCommand;

/// Appends committed commands to one file and syncs each before it is acknowledged.
#[derive(Debug)]
pub struct LocalLog {
    file: File,
}

impl LocalLog {
    /// Opens the log in `folder` and returns the commands it holds.
    pub fn open(folder: &Path) -> std::io::Result<(Self, Vec<LoggedCommand>)> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("commands.log");
        let mut file = OpenOptions::new()
            .create(true)
            .read(true)
            .append(true)
            .open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (commands, complete) = decode_commands(&bytes);
        file.set_len(complete as u64)?;
        file.sync_all()?;
        File::open(folder)?.sync_all()?;
        Ok((Self { file }, commands))
    }

    /// Appends and syncs one command.
    pub fn append(&mut self, command: &LoggedCommand) -> std::io::Result<()> {
        let body = codec::encode(command);
        let mut record = (body.len() as u32).to_be_bytes().to_vec();
        record.extend_from_slice(&body);
        self.file.write_all(&record)?;
        self.file.sync_data()
    }
}

fn decode_commands(bytes: &[u8]) -> (Vec<LoggedCommand>, usize) {
    let mut commands = Vec::new();
    let mut offset = 0;
    while let Some(prefix) = bytes.get(offset..offset + 4) {
        let length = u32::from_be_bytes(prefix.try_into().expect("the slice has 4 bytes")) as usize;
        let Some(body) = bytes.get(offset + 4..offset + 4 + length) else {
            break;
        };
        let Ok(command) = codec::decode(body) else {
            break;
        };
        commands.push(command);
        offset += 4 + length;
    }
    (commands, offset)
}
