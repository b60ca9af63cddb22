//! Command line of `cassiactl`.

use std::process::ExitCode;

use argh::FromArgs;
use cassiactl::commands;

/// Operates cassiatrestle.
#[derive(FromArgs)]
struct CommandLine {
    /// settings file of the operator (TOML)
    #[argh(option, default = "String::from(\"cassiactl.toml\")")]
    settings: String,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Status(StatusCommand),
    Config(ConfigCommand),
    Console(ConsoleCommand),
}

/// Shows the state of all daemons as one of them sees it.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusCommand {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Shows, checks and applies intent documents.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct ConfigCommand {
    #[argh(subcommand)]
    action: ConfigAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ConfigAction {
    Show(ConfigShow),
    Check(ConfigCheck),
    Apply(ConfigApply),
    History(ConfigHistory),
}

/// Prints the document in force, or an older version.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ConfigShow {
    /// version to print (default: the newest)
    #[argh(option)]
    version: Option<u64>,
}

/// Validates a document without publishing it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct ConfigCheck {
    /// document file (TOML)
    #[argh(positional)]
    file: String,
}

/// Publishes a document as the next version.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ConfigApply {
    /// document file (TOML)
    #[argh(positional)]
    file: String,
    /// version that the document is based on; rejected if another version is
    /// in force
    #[argh(option)]
    expected_version: u64,
}

/// Lists the accepted versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct ConfigHistory {}

/// Serves the web console.
#[derive(FromArgs)]
#[argh(subcommand, name = "console")]
struct ConsoleCommand {}

#[tokio::main]
async fn main() -> ExitCode {
    let command_line: CommandLine = argh::from_env();
    match run(command_line).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cassiactl: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command_line: CommandLine) -> commands::Result<()> {
    // `config check` must also work on machines without a settings file, so it
    // runs before the settings are loaded.
    if let Command::Config(ConfigCommand {
        action: ConfigAction::Check(check),
    }) = &command_line.command
    {
        return commands::check(&check.file);
    }
    let settings = commands::load_settings(&command_line.settings)?;
    match command_line.command {
        Command::Status(status) => commands::status(&settings, status.json).await,
        Command::Console(_) => commands::console(settings).await,
        Command::Config(config) => match config.action {
            ConfigAction::Show(show) => commands::show(&settings, show.version).await,
            ConfigAction::Check(check) => commands::check(&check.file),
            ConfigAction::Apply(apply) => {
                commands::apply(&settings, &apply.file, apply.expected_version).await
            }
            ConfigAction::History(_) => commands::history(&settings).await,
        },
    }
}
