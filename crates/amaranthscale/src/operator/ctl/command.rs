//! The command line.

use std::path::PathBuf;

use amaranthscale_core::id::{
    OrganisationId, PipelineId, ServerId, ServiceId, TreeVersion, ZoneId,
};
use amaranthscale_core::process::Suspect;
use amaranthscale_core::unit::Class;
use amaranthscale_core::version::OverrideField;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

use super::{EntryAddress, GatewayAddress};

/// Name of the program.
pub(super) const PROGRAM: &str = "amaranthctl";

const EXAMPLES: &str = "\
Examples:
  amaranthctl --entry 10.0.0.1:8080 --key-file op.key tree show
  amaranthctl --entry 10.0.0.1:8080 --key-file op.key tree set north-growers weight 4
  amaranthctl config check entry.ini --kind entry

Exit codes:
  0 done, 2 usage, 3 refused by a check, 4 another edit came first,
  5 entry or gateway not reached or outcome not known, 6 wrong key";

const TREE_EXAMPLES: &str = "\
Examples:
  amaranthctl ... tree show --effective north-growers
  amaranthctl ... tree set north-growers limit_per_second 40
  amaranthctl ... tree set trials pipelines beet-intake,letters
  amaranthctl ... tree export > tree.json   (edit the file, then)
  amaranthctl ... tree import tree.json";

const ORGANISATION_EXAMPLES: &str = "\
Examples:
  amaranthctl ... organisation create north-growers --parent growers --class paid
  amaranthctl ... organisation move north-growers --parent trials
  amaranthctl ... organisation suspend north-growers";

const PIPELINE_EXAMPLES: &str = "\
Examples:
  amaranthctl ... pipeline put letters letters.json
  where the file holds {\"stages\":[{\"name\":\"draft\",\"service\":\"amaranth-pool\",
  \"path\":\"/run/draft\",\"is_repeatable\":true,\"is_streaming\":true}]}";

const SERVICE_EXAMPLES: &str = "\
Examples:
  amaranthctl ... service put grower-ledger ledger.json
  where the file holds {\"is_repeatable\":true,
  \"not_repeatable_paths\":[\"/settlements\"],\"default_deadline_ms\":5000}
  and of a service whose engines take orders, with the wanted replicas of each model:
  {\"is_repeatable\":true,\"default_deadline_ms\":5000,\"models\":{\"assay-7b\":4}}";

const ZONE_EXAMPLES: &str = "\
Examples:
  amaranthctl ... zone evacuate mill-office
  amaranthctl ... status        (shows zones, and since when they are evacuated)
  amaranthctl ... zone take-back mill-office";

const GATEWAY_EXAMPLES: &str = "\
Examples:
  amaranthctl gateway --gateway 10.0.0.1:7101 servers
  amaranthctl gateway --gateway 10.0.0.1:7101 held-back
  amaranthctl gateway --gateway 10.0.0.1:7101 drain i-7
  amaranthctl gateway --gateway 10.0.0.1:7101 undrain i-7
  amaranthctl gateway --gateway 10.0.0.1:7101 lift 5f3c0a77d21be904c6a1d5508e3b9f12

The address is the one where the gateway serves its metrics. No key is needed.";

/// The command line of `amaranthctl`.
#[must_use]
pub fn command() -> Command {
    Command::new(PROGRAM)
        .version(env!("CARGO_PKG_VERSION"))
        .about("Edits and shows the settings tree, and shows status and cost")
        .after_help(EXAMPLES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(tree())
        .subcommand(organisation())
        .subcommand(pipeline())
        .subcommand(service())
        .subcommand(zone())
        .subcommand(Command::new("status").about("Shows how an entry and its servers fare"))
        .subcommand(Command::new("cost").about("Shows cost by organisation and stage"))
        .subcommand(gateway())
        .subcommand(config())
        .subcommand(explain())
        .subcommand(completions())
}

fn global_arguments() -> [Arg; 4] {
    let entry = Arg::new("entry")
        .long("entry")
        .value_name("ADDRESS")
        .value_parser(value_parser!(EntryAddress))
        .global(true)
        .help("Entry to ask, such as 10.0.0.1:8080");
    let key_file = file("key-file", "File with the operator's key in its first line")
        .long("key-file")
        .required(false)
        .global(true);
    let by = Arg::new("by")
        .long("by")
        .value_name("NAME")
        .global(true)
        .help("Name under which an edit is recorded [default: the USER variable]");
    let json = flag("json", "Prints JSON, errors too").global(true);
    [entry, key_file, by, json]
}

fn tree() -> Command {
    let show = leaf(
        "show",
        "Shows the tree, or what is in force for one organisation",
    )
    .arg(
        organisation_id()
            .id("effective")
            .long("effective")
            .required(false)
            .help("Shows the values in force, and where each comes from"),
    );
    let get = leaf("get", "Prints one value in force")
        .arg(organisation_id())
        .arg(field());
    let set = leaf("set", "Sets a field of an organisation")
        .arg(organisation_id())
        .arg(field())
        .arg(text("value", "Value to set"));
    let unset = leaf("unset", "Clears a field, which is then inherited")
        .arg(organisation_id())
        .arg(field());
    let import = leaf(
        "import",
        "Replaces the whole tree by a file from tree export",
    )
    .arg(file("file", "File with the tree as JSON"))
    .arg(flag(
        "overwrite",
        "Undoes edits made since the file was exported",
    ));
    let export = leaf("export", "Prints the whole tree as JSON");
    let history = leaf("history", "Lists edits").arg(
        Arg::new("since")
            .long("since")
            .value_name("VERSION")
            .value_parser(value_parser!(TreeVersion))
            .default_value("0")
            .help("Leaves out edits up to this version"),
    );
    group("tree", "Shows and edits the settings tree", TREE_EXAMPLES)
        .subcommands([show, get, set, unset, import, export, history])
}

fn organisation() -> Command {
    let parent = || {
        organisation_id()
            .id("parent")
            .long("parent")
            .help("Organisation to inherit from")
    };
    let caller_key_file = || {
        file(
            "caller-key-file",
            "File with the callers' key; without it a key is made and printed",
        )
        .long("caller-key-file")
        .required(false)
    };
    let class = Arg::new("class")
        .long("class")
        .value_name("CLASS")
        .value_parser(value_parser!(Class))
        .help("paid or trial; inherited if left out");
    let create = leaf("create", "Creates an organisation and its key")
        .arg(organisation_id())
        .arg(parent())
        .arg(class)
        .arg(caller_key_file());
    let set_key = leaf("set-key", "Replaces the key of an organisation")
        .arg(organisation_id())
        .arg(caller_key_file());
    let relocate = leaf("move", "Gives an organisation another parent")
        .arg(organisation_id())
        .arg(parent());
    let suspend = leaf(
        "suspend",
        "Refuses the work of an organisation and all below it",
    );
    let resume = leaf("resume", "Ends the suspension of an organisation");
    group(
        "organisation",
        "Creates and changes organisations",
        ORGANISATION_EXAMPLES,
    )
    .subcommands([create, set_key, relocate])
    .subcommand(suspend.arg(organisation_id()))
    .subcommand(resume.arg(organisation_id()))
}

fn pipeline() -> Command {
    let id = || text("id", "Name of the pipeline").value_parser(value_parser!(PipelineId));
    let put = leaf("put", "Adds or replaces a pipeline")
        .arg(id())
        .arg(file("file", "File with the pipeline as JSON"));
    let remove = leaf("remove", "Removes a pipeline that no organisation names").arg(id());
    group("pipeline", "Puts and removes pipelines", PIPELINE_EXAMPLES).subcommands([put, remove])
}

fn service() -> Command {
    let id = || text("id", "Name of the service").value_parser(value_parser!(ServiceId));
    let put = leaf("put", "Adds or replaces a service")
        .arg(id())
        .arg(file("file", "File with the service as JSON"));
    let remove = leaf("remove", "Removes a service that no pipeline uses").arg(id());
    group("service", "Puts and removes services", SERVICE_EXAMPLES).subcommands([put, remove])
}

fn zone() -> Command {
    let name = || text("zone", "Name of the availability zone").value_parser(value_parser!(ZoneId));
    let evacuate = leaf(
        "evacuate",
        "Lets the zone's backend servers get nothing more; running work ends",
    )
    .arg(name());
    let take_back = leaf("take-back", "Takes an evacuated zone back").arg(name());
    group("zone", "Evacuates availability zones", ZONE_EXAMPLES).subcommands([evacuate, take_back])
}

fn gateway() -> Command {
    let address = Arg::new("gateway")
        .long("gateway")
        .value_name("ADDRESS")
        .value_parser(value_parser!(GatewayAddress))
        .global(true)
        .help("Operator listener of any gateway, such as 10.0.0.1:7101");
    let servers = leaf(
        "servers",
        "Lists the servers as the gateway uses them, and what it has in flight there",
    );
    let held_back = leaf(
        "held-back",
        "Lists the requests and prompt parts that are held back as servers crash under them",
    );
    let suspect = text("id", "Request or prompt part, as held-back lists it");
    let lift = leaf(
        "lift",
        "Lets a request or prompt part that is held back go on, at all gateways",
    )
    .arg(suspect.value_parser(value_parser!(Suspect)));
    let server = || {
        text("server", "Id of the server, without what follows an @")
            .value_parser(value_parser!(ServerId))
    };
    let drain = leaf(
        "drain",
        "Lets a server get nothing more from any gateway; running work ends",
    )
    .arg(server());
    let undrain = leaf("undrain", "Uses a drained server again").arg(server());
    group(
        "gateway",
        "Shows and changes what a gateway does with servers and requests",
        GATEWAY_EXAMPLES,
    )
    .arg(address)
    .subcommands([servers, held_back, lift, drain, undrain])
}

fn explain() -> Command {
    let call = Arg::new("call")
        .value_name("ID")
        .help("The caller's id of the request")
        .required(true);
    let files = Arg::new("files")
        .value_name("FILE")
        .help("Log files of all machines; standard input if none is given")
        .value_parser(value_parser!(PathBuf))
        .num_args(0..);
    let json = Arg::new("json")
        .long("json")
        .help("Print JSON")
        .action(ArgAction::SetTrue);
    Command::new("explain")
        .about("Tells from log files what happened to a request, and what decided it")
        .after_help("Examples:\n  amaranthctl explain 9c41d07be2a35f68 logs/*.log")
        .args([call, files, json])
}

fn config() -> Command {
    let kind = Arg::new("kind")
        .long("kind")
        .value_parser(["entry", "sidecar"])
        .required(true)
        .help("Kind of process that the file is for");
    let check = leaf("check", "Checks a settings file without starting a process")
        .arg(file("file", "Settings file in INI"))
        .arg(kind);
    let example = "Examples:\n  amaranthctl config check sidecar.ini --kind sidecar";
    group("config", "Checks settings files", example).subcommand(check)
}

fn completions() -> Command {
    let shell = Arg::new("shell")
        .required(true)
        .value_parser(value_parser!(Shell))
        .help("Shell to complete for");
    leaf("completions", "Prints a shell's completion script").arg(shell)
}

fn group(name: &'static str, about: &'static str, examples: &'static str) -> Command {
    leaf(name, about)
        .after_help(examples)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn leaf(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about)
}

fn organisation_id() -> Arg {
    text("organisation", "Name of the organisation").value_parser(value_parser!(OrganisationId))
}

fn field() -> Arg {
    let help = "class, limit_per_second, weight, max_in_flight, pipelines or deadline_ms";
    text("field", help).value_parser(value_parser!(OverrideField))
}

fn text(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).required(true).help(help)
}

fn file(id: &'static str, help: &'static str) -> Arg {
    let parser = value_parser!(PathBuf);
    text(id, help).value_name("FILE").value_parser(parser)
}

fn flag(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).action(ArgAction::SetTrue).help(help)
}
