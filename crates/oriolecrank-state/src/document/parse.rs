//! Parses documents from text and renders them as text.

use std::path::Path;

use oriolecrank_schema::document::ConfigDocument;
use snafu::{OptionExt, ResultExt, Snafu};

/// Text format of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentFormat {
    /// TOML 1.0.
    Toml,
    /// JSON (RFC 8259).
    Json,
}

impl DocumentFormat {
    /// Format for the extension of a file name.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError::UnknownFormat`] if the extension is neither `toml` nor `json`.
    pub fn from_path(path: &Path) -> Result<Self, ParseError> {
        let extension = path.extension().and_then(|extension| extension.to_str());
        match extension {
            Some("toml") => Ok(Self::Toml),
            Some("json") => Ok(Self::Json),
            _ => None.context(UnknownFormatSnafu {
                name: path.display().to_string(),
            }),
        }
    }
}

/// Reason why a text cannot be parsed as a document.
#[derive(Debug, Snafu)]
pub enum ParseError {
    /// The text is not TOML, or a field is unknown, missing or of the wrong type.
    #[snafu(display("the document is not valid TOML: {source}"))]
    Toml {
        /// Parser error with line and column.
        source: toml::de::Error,
    },
    /// The text is not JSON, or a field is unknown, missing or of the wrong type.
    #[snafu(display("the document is not valid JSON: {source}"))]
    Json {
        /// Parser error with line and column.
        source: serde_json::Error,
    },
    /// The file name ends neither in `.toml` nor in `.json`.
    #[snafu(display("{name}: a document file ends in .toml or .json"))]
    UnknownFormat {
        /// Name of the file.
        name: String,
    },
}

/// Parses a document without validating it; see [`validate_document`](super::validate_document).
///
/// # Errors
///
/// Returns [`ParseError::Toml`] or [`ParseError::Json`] if the text is not a document.
pub fn parse_document(text: &str, format: DocumentFormat) -> Result<ConfigDocument, ParseError> {
    match format {
        DocumentFormat::Toml => toml::from_str(text).context(TomlSnafu),
        DocumentFormat::Json => serde_json::from_str(text).context(JsonSnafu),
    }
}

/// Renders a document as text that [`parse_document`] parses back unchanged.
pub fn render_document(document: &ConfigDocument, format: DocumentFormat) -> String {
    match format {
        DocumentFormat::Toml => toml::to_string_pretty(document)
            .expect("every document value can be represented in TOML"),
        DocumentFormat::Json => {
            serde_json::to_string_pretty(document).expect("serialising to a string cannot fail")
        }
    }
}
