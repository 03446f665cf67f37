//! Developer tasks: generates Rust types from the JSON Schema files and checks that the committed
//! code is current.
//!
//! `cargo run -p xtask -- generate` writes the generated modules. `cargo run -p xtask -- check`
//! compares them with the committed files and exits with 1 if one differs or is absent.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use schemars::schema::{RootSchema, Schema};
use snafu::{ResultExt, Snafu, Whatever, whatever};
use typify::{TypeSpace, TypeSpaceSettings};

/// Names of the schema files in the order of generation. A file may refer to definitions of the
/// files before it.
const SCHEMA_FILES: [&str; 5] = ["document", "data_path", "control", "settings", "peer"];

/// Schema definition of raw bytes, and the Rust type that replaces it. JSON Schema has no byte
/// string, and an array of integers would take up to twice the space and far more time to encode.
const RAW_BYTES: (&str, &str) = ("RawBytes", "::serde_bytes::ByteBuf");

/// One schema file and the Rust module generated from it.
#[derive(Debug)]
struct SchemaModule {
    /// Name of the module and of the schema file without its extension.
    name: String,
    /// Formatted Rust source.
    source: String,
}

/// Whether the generated source is written or compared with the committed files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskMode {
    Generate,
    Check,
}

/// A committed module differs from the generated one, or is absent.
#[derive(Debug, Snafu)]
#[snafu(display("{} is out of date; run `cargo run -p xtask -- generate`", path.display()))]
struct StaleModule {
    path: PathBuf,
}

fn main() -> ExitCode {
    let mode = match std::env::args().nth(1).as_deref() {
        Some("generate") => TaskMode::Generate,
        Some("check") => TaskMode::Check,
        _ => {
            eprintln!("usage: cargo run -p xtask -- generate|check");
            return ExitCode::from(2);
        }
    };
    match run(mode) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("xtask: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mode: TaskMode) -> Result<(), Whatever> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let output = root.join("crates/oriolecrank-schema/src/generated");
    let modules = generate_modules(&root.join("schema"))?;
    if mode == TaskMode::Generate {
        std::fs::create_dir_all(&output).whatever_context("cannot create the output folder")?;
    }
    let index = module_index(&modules);
    write_or_compare(mode, &output.join("mod.rs"), &index)?;
    for module in &modules {
        write_or_compare(
            mode,
            &output.join(format!("{}.rs", module.name)),
            &module.source,
        )?;
    }
    Ok(())
}

/// Definitions of the schema files that come before the current one.
#[derive(Debug, Default)]
struct EarlierDefinitions {
    definitions: BTreeMap<String, Schema>,
    /// Name of the module that contains the type of each definition.
    modules: BTreeMap<String, String>,
}

fn generate_modules(folder: &Path) -> Result<Vec<SchemaModule>, Whatever> {
    let mut earlier = EarlierDefinitions::default();
    let mut modules = Vec::new();
    for name in SCHEMA_FILES {
        modules.push(generate_module(folder, name, &mut earlier)?);
    }
    Ok(modules)
}

fn generate_module(
    folder: &Path,
    name: &str,
    earlier: &mut EarlierDefinitions,
) -> Result<SchemaModule, Whatever> {
    let path = folder.join(format!("{name}.json"));
    let text = std::fs::read_to_string(&path)
        .with_whatever_context(|error| format!("cannot read {}: {error}", path.display()))?;
    let mut schema: RootSchema = serde_json::from_str(&text).with_whatever_context(|error| {
        format!("{} is not a JSON Schema: {error}", path.display())
    })?;
    let definitions = schema.definitions.clone();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_replacement(RAW_BYTES.0, RAW_BYTES.1, std::iter::empty());
    for (definition, module) in &earlier.modules {
        if definitions.contains_key(definition) {
            whatever!("{definition} is defined in both {module}.json and {name}.json");
        }
        settings.with_replacement(
            definition,
            format!("super::{module}::{definition}"),
            std::iter::empty(),
        );
    }
    schema.definitions.extend(earlier.definitions.clone());
    let mut space = TypeSpace::new(&settings);
    space
        .add_root_schema(schema)
        .with_whatever_context(|error| {
            format!("cannot generate types from {}: {error}", path.display())
        })?;
    let file = syn::parse2::<syn::File>(space.to_stream()).with_whatever_context(|error| {
        format!("code generated from {name}.json is not valid Rust: {error}")
    })?;
    let body = prettyplease::unparse(&file);
    let source = format!("//! Types generated from `schema/{name}.json`; do not edit.\n\n{body}");
    earlier.modules.extend(
        definitions
            .keys()
            .map(|definition| (definition.clone(), name.to_owned())),
    );
    earlier.definitions.extend(definitions);
    Ok(SchemaModule {
        name: name.to_owned(),
        source,
    })
}

fn module_index(modules: &[SchemaModule]) -> String {
    let lines = modules
        .iter()
        .map(|module| format!("pub mod {};\n", module.name));
    format!(
        "//! Modules generated from `schema/`; do not edit.\n\n{}",
        lines.collect::<String>()
    )
}

fn write_or_compare(mode: TaskMode, path: &Path, source: &str) -> Result<(), Whatever> {
    if mode == TaskMode::Generate {
        return std::fs::write(path, source)
            .with_whatever_context(|error| format!("cannot write {}: {error}", path.display()));
    }
    let current = std::fs::read_to_string(path).unwrap_or_default();
    if current == source {
        return Ok(());
    }
    StaleModuleSnafu { path }
        .fail()
        .whatever_context("generated code is out of date; run `cargo run -p xtask -- generate`")
}
