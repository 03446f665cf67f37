//! Compressed form in which a document is sent to entries.

use std::io::{Read as _, Write as _};
use std::sync::Mutex;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use oriolecrank_control::ControlMemory;
use oriolecrank_net::intake::ByteLease;
use oriolecrank_routing::StoredDocument;
use oriolecrank_schema::codec;
use serde::{Deserialize, Serialize};

use crate::site_messages::DocumentAnswer;

/// Largest decompressed document, in bytes; the limit for the calls of operators.
const MAX_DOCUMENT_BYTES: u64 = 4 * 1024 * 1024;

/// How the content of a transferred document is encoded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DocumentEncoding {
    /// The bytes as the operator sent them.
    #[default]
    Plain,
    /// A raw deflate stream (RFC 1951).
    Deflate,
}

/// A document on its way to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TransferredDocument {
    pub(crate) version: u64,
    #[serde(default)]
    encoding: DocumentEncoding,
    #[serde(with = "serde_bytes")]
    source: Vec<u8>,
}

impl TransferredDocument {
    /// Compresses a document. Routes repeat the same names, so that a large document shrinks to a
    /// fraction of its size.
    pub(crate) fn compress(document: &StoredDocument) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let compressed = encoder
            .write_all(&document.source)
            .and_then(|()| encoder.finish());
        Self {
            version: document.version,
            encoding: DocumentEncoding::Deflate,
            source: compressed.expect("writes into memory do not fail"),
        }
    }

    /// Size of the encoded content, in bytes.
    pub(crate) fn transfer_bytes(&self) -> usize {
        self.source.len()
    }

    /// The document as the operator sent it. Fails if the content is no valid stream or exceeds
    /// [`MAX_DOCUMENT_BYTES`].
    pub(crate) fn into_document(self) -> std::io::Result<StoredDocument> {
        let source = match self.encoding {
            DocumentEncoding::Plain => self.source,
            DocumentEncoding::Deflate => inflate(&self.source)?,
        };
        Ok(StoredDocument {
            version: self.version,
            source: source.into(),
        })
    }
}

fn inflate(compressed: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut source = Vec::new();
    let mut decoder = DeflateDecoder::new(compressed).take(MAX_DOCUMENT_BYTES + 1);
    decoder.read_to_end(&mut source)?;
    if source.len() as u64 > MAX_DOCUMENT_BYTES {
        let reason = format!("a document exceeds {MAX_DOCUMENT_BYTES} bytes");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, reason));
    }
    Ok(source)
}

/// Encoded answer with the newest document, which many entries ask for at about the same time.
#[derive(Debug)]
pub(crate) struct DocumentCache {
    /// Taken alone and never held across an await.
    newest: Mutex<CachedAnswer>,
}

/// Answer for one version.
#[derive(Debug)]
struct CachedAnswer {
    /// Version and encoded answer.
    answer: Option<(u64, Bytes)>,
    /// Counts the answer.
    lease: ByteLease,
}

impl DocumentCache {
    pub(crate) fn new(memory: &ControlMemory) -> Self {
        let cached = CachedAnswer {
            answer: None,
            lease: memory.documents.lease(),
        };
        Self {
            newest: Mutex::new(cached),
        }
    }

    /// Encoded [`DocumentAnswer`] with the given document.
    pub(crate) fn answer_with(&self, document: &StoredDocument) -> Bytes {
        let mut newest = self
            .newest
            .lock()
            .expect("no holder of the document cache lock panics");
        if let Some((version, answer)) = &newest.answer
            && *version == document.version
        {
            return answer.clone();
        }
        let answer = Bytes::from(codec::encode(&DocumentAnswer {
            document: Some(TransferredDocument::compress(document)),
        }));
        newest.lease.count(answer.len());
        newest.answer = Some((document.version, answer.clone()));
        answer
    }
}
