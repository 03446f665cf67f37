//! Developer tasks: generates Rust types from the JSON Schema files and checks that the committed
//! code is current.
//!
//! `cargo run -p xtask -- generate` writes the generated modules, `cargo run -p xtask -- check`
//! compares them and exits with 1 when a file differs.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use schemars::schema::{RootSchema, Schema};
use snafu::{ResultExt, Snafu, Whatever, whatever};
use typify::{TypeSpace, TypeSpaceSettings};

/// Schema files in the order of generation; a file may refer to definitions of the files before it.
const SCHEMA_FILES: [&str; 5] = ["document", "data_path", "control", "settings", "peer"];

/// Definition that stands for raw bytes, and the type used for it. JSON Schema has no byte string,
/// and an array of integers would take up to twice the space and far more time to encode.
const RAW_BYTES: (&str, &str) = ("RawBytes", "::serde_bytes::ByteBuf");

/// One schema file and the Rust module generated from it.
#[derive(Debug)]
struct SchemaModule {
    /// File name without extension, also the module name.
    name: String,
    /// Formatted Rust source.
    source: String,
}

/// What to do with the generated source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskMode {
    Generate,
    Check,
}

/// Failure of the `check` task.
#[derive(Debug, Snafu)]
#[snafu(display("{} is not current; run `cargo run -p xtask -- generate`", path.display()))]
struct StaleModule {
    path: PathBuf,
}

fn main() -> ExitCode {
    let mode = match std::env::args().nth(1).as_deref() {
        Some("generate") => TaskMode::Generate,
        Some("check") => TaskMode::Check,
        _ => {
            eprintln!("usage: xtask generate|check");
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
    let index = modules_index(&modules);
    place(mode, &output.join("mod.rs"), &index)?;
    for module in &modules {
        place(
            mode,
            &output.join(format!("{}.rs", module.name)),
            &module.source,
        )?;
    }
    Ok(())
}

/// Definitions of the schema files that were generated before the current one.
#[derive(Debug, Default)]
struct EarlierDefinitions {
    definitions: BTreeMap<String, Schema>,
    /// Module that contains the type of each definition.
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
        .with_whatever_context(|_| format!("cannot read {}", path.display()))?;
    let mut schema: RootSchema = serde_json::from_str(&text)
        .with_whatever_context(|_| format!("{} is not a JSON Schema", path.display()))?;
    let own = schema.definitions.clone();
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    settings.with_replacement(RAW_BYTES.0, RAW_BYTES.1, std::iter::empty());
    for (definition, module) in &earlier.modules {
        if own.contains_key(definition) {
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
        .with_whatever_context(|_| format!("cannot convert {}", path.display()))?;
    let file = syn::parse2::<syn::File>(space.to_stream())
        .with_whatever_context(|_| format!("generated code of {name} does not parse"))?;
    let body = prettyplease::unparse(&file);
    let source = format!("//! Types generated from `schema/{name}.json`; do not edit.\n\n{body}");
    earlier.modules.extend(
        own.keys()
            .map(|definition| (definition.clone(), name.to_owned())),
    );
    earlier.definitions.extend(own);
    Ok(SchemaModule {
        name: name.to_owned(),
        source,
    })
}

fn modules_index(modules: &[SchemaModule]) -> String {
    let lines = modules
        .iter()
        .map(|module| format!("pub mod {};\n", module.name));
    format!(
        "//! Modules generated from `schema/`; do not edit.\n\n{}",
        lines.collect::<String>()
    )
}

fn place(mode: TaskMode, path: &Path, source: &str) -> Result<(), Whatever> {
    if mode == TaskMode::Generate {
        return std::fs::write(path, source)
            .with_whatever_context(|_| format!("cannot write {}", path.display()));
    }
    let current = std::fs::read_to_string(path).unwrap_or_default();
    if current == source {
        return Ok(());
    }
    StaleModuleSnafu { path }
        .fail()
        .whatever_context("generated code differs")
}
