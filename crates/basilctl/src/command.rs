//! The commands.

use std::io::Read as _;
use std::time::{SystemTime, UNIX_EPOCH};

use basilhaven::admin::{moves, orders, status};
use basilhaven::{config, decision, member, name, order, profile};
use indexmap::IndexMap;

use crate::client::{Client, Condition, Error};
use crate::options::{self, Command, Options};
use crate::{print, watch};

/// Runs the command in the options.
///
/// # Errors
///
/// Returns an error if the command was refused, failed, or could not be confirmed.
pub async fn run(options: &Options) -> Result<(), Error> {
    let client = Client::new(options);
    match &options.command {
        Command::Status => status(&client, options).await,
        Command::Hosts => hosts(&client, options).await,
        Command::Why { service } => why(&client, options, service).await,
        Command::Config(command) => config(&client, options, command).await,
        Command::Profile(command) => profile(&client, options, command).await,
        Command::Service(command) => service(&client, options, command).await,
        Command::Caller(command) => caller(&client, options, command).await,
        Command::Out { force, target } => {
            let condition = Condition { force: *force, ..Condition::default() };
            let target = order::Target::from(target);
            submit(&client, options, &order::Order::Out(target.clone()), condition).await?;
            match options.wait.is_zero() {
                true => Ok(()),
                false => watch::until_idle(&client, &target, options.wait).await,
            }
        }
        Command::Back(target) => {
            submit(&client, options, &order::Order::Back(target.into()), Condition::default()).await
        }
        Command::Move(command) => move_traffic(&client, options, command).await,
    }
}

/// Submits an order, and waits until it is in force on all hosts unless the wait is zero.
async fn submit(
    client: &Client<'_>,
    options: &Options,
    order: &order::Order,
    condition: Condition,
) -> Result<(), Error> {
    let body = serde_json::to_vec(order).expect("an order is plain data");
    let accepted: orders::Accepted = client.post("/v1/orders", body, condition).await?;
    if options.wait.is_zero() {
        match options.json {
            true => print::json(&accepted),
            false => println!("accepted as revision {}", accepted.revision),
        }
        return Ok(());
    }
    let confirmed = watch::until_in_force(client, accepted.revision, options.wait).await?;
    match options.json {
        true => print::json(&confirmed),
        false => println!("revision {} is in force on all hosts", accepted.revision),
    }
    Ok(())
}

async fn status(client: &Client<'_>, options: &Options) -> Result<(), Error> {
    let status: status::Status = client.get("/v1/status").await?;
    if options.json {
        print::json(&status);
        return Ok(());
    }
    let mut table = print::Table::new(&["host", "data centre", "config", "hosts", "moves", ""]);
    for host in std::iter::once(&status.own).chain(&status.others) {
        let note = match (host.leaving, status.suspect.contains(&host.name)) {
            (true, _) => "leaving",
            (false, true) => "suspect",
            (false, false) => "",
        };
        table.add_row(vec![
            host.name.to_string(),
            host.data_centre.to_string(),
            host.revisions.config.to_string(),
            host.revisions.hosts.to_string(),
            host.revisions.moves.to_string(),
            note.to_owned(),
        ]);
    }
    for host in &status.dead {
        let empty = String::new;
        table.add_row(vec![
            host.to_string(),
            empty(),
            empty(),
            empty(),
            empty(),
            "dead".to_owned(),
        ]);
    }
    table.print();
    println!();
    let mut table = print::Table::new(&[
        "service",
        "upstream",
        "data centre",
        "version",
        "state",
        "in flight",
        "latency ms",
    ]);
    for service in &status.services {
        for upstream in &service.upstreams {
            let latency = upstream.latency_us.map(|us| format!("{:.2}", us as f64 / 1e3));
            table.add_row(vec![
                service.name.to_string(),
                upstream.name.to_string(),
                upstream.data_centre.to_string(),
                upstream.version.to_string(),
                upstream.state.clone(),
                upstream.in_flight.to_string(),
                latency.unwrap_or_else(|| "-".to_owned()),
            ]);
        }
    }
    table.print();
    Ok(())
}

async fn hosts(client: &Client<'_>, options: &Options) -> Result<(), Error> {
    let hosts: Vec<member::Host> = client.get("/v1/hosts").await?;
    if options.json {
        print::json(&hosts);
        return Ok(());
    }
    let mut table = print::Table::new(&["host", "data centre", "callers", "admin", "peer"]);
    for host in &hosts {
        table.add_row(vec![
            host.name.to_string(),
            host.data_centre.to_string(),
            host.callers.to_string(),
            host.admin.to_string(),
            host.peer.to_string(),
        ]);
    }
    table.print();
    Ok(())
}

async fn why(client: &Client<'_>, options: &Options, service: &name::Name) -> Result<(), Error> {
    let decisions: Vec<decision::Decision> =
        client.get(&format!("/v1/why?service={service}")).await?;
    if options.json {
        print::json(&decisions);
        return Ok(());
    }
    let mut table = print::Table::new(&[
        "ago s",
        "call",
        "class",
        "attempt",
        "upstream",
        "cost ms",
        "candidates",
        "in flight",
        "queued",
    ]);
    let now = since_epoch().as_millis() as u64;
    for decision in &decisions {
        let ago = now.saturating_sub(decision.at.as_millis() as u64) as f64 / 1e3;
        table.add_row(vec![
            format!("{ago:.1}"),
            decision.call.to_string(),
            decision.class.to_string(),
            decision.attempt.to_string(),
            decision.upstream.to_string(),
            format!("{:.2}", decision.cost),
            decision.candidates.to_string(),
            decision.in_flight.to_string(),
            decision.queued.to_string(),
        ]);
    }
    table.print();
    Ok(())
}

async fn config(
    client: &Client<'_>,
    options: &Options,
    command: &options::Config,
) -> Result<(), Error> {
    match command {
        options::Config::Get => {
            let config: orders::Config = client.get("/v1/config").await?;
            eprintln!("revision {}", config.revision);
            print::json(&config.document);
            Ok(())
        }
        options::Config::Replace { if_revision, file } => {
            let raw = std::fs::read_to_string(file)
                .map_err(|error| Error::Refused(format!("{}: {error}", file.display())))?;
            let document = config::Document::try_from(&*raw)
                .map_err(|findings| Error::Refused(findings.to_string()))?;
            let condition = Condition { if_revision: *if_revision, force: false };
            submit(client, options, &order::Order::Replace(Box::new(document)), condition).await
        }
    }
}

async fn profile(
    client: &Client<'_>,
    options: &Options,
    command: &options::Profile,
) -> Result<(), Error> {
    match command {
        options::Profile::List => {
            let config: orders::Config = client.get("/v1/config").await?;
            print::json(&config.document.profiles);
            Ok(())
        }
        options::Profile::Set { name, profile } => {
            let profile: profile::Profile = serde_json::from_str(profile)
                .map_err(|error| Error::Refused(format!("profile: {error}")))?;
            let order = order::Order::SetProfile(name.clone(), profile);
            submit(client, options, &order, Condition::default()).await
        }
        options::Profile::Remove { name } => {
            let order = order::Order::RemoveProfile(name.clone());
            submit(client, options, &order, Condition::default()).await
        }
    }
}

async fn service(
    client: &Client<'_>,
    options: &Options,
    command: &options::Service,
) -> Result<(), Error> {
    match command {
        options::Service::List => {
            let config: orders::Config = client.get("/v1/config").await?;
            if options.json {
                print::json(&config.document.services);
                return Ok(());
            }
            let mut table = print::Table::new(&["service", "profile"]);
            for (name, service) in &config.document.services {
                table.add_row(vec![name.to_string(), service.profile.to_string()]);
            }
            table.print();
            Ok(())
        }
        options::Service::Set { name, profile } => {
            let service = config::Service { profile: profile.clone() };
            let order = order::Order::SetService(name.clone(), service);
            submit(client, options, &order, Condition::default()).await
        }
        options::Service::Remove { name } => {
            let order = order::Order::RemoveService(name.clone());
            submit(client, options, &order, Condition::default()).await
        }
    }
}

async fn caller(
    client: &Client<'_>,
    options: &Options,
    command: &options::Caller,
) -> Result<(), Error> {
    match command {
        options::Caller::List => {
            let config: orders::Config = client.get("/v1/config").await?;
            let classes: IndexMap<&name::Name, config::Class> =
                config.document.callers.iter().map(|(name, c)| (name, c.class)).collect();
            if options.json {
                print::json(&classes);
                return Ok(());
            }
            let mut table = print::Table::new(&["caller", "class"]);
            for (name, class) in classes {
                table.add_row(vec![name.to_string(), class.to_string()]);
            }
            table.print();
            Ok(())
        }
        options::Caller::Set { paying, name } => {
            let mut credential = String::new();
            std::io::stdin()
                .read_to_string(&mut credential)
                .map_err(|error| Error::Refused(format!("standard input: {error}")))?;
            let credential = credential.trim();
            if credential.is_empty() {
                return Err(Error::Refused("standard input: the credential is empty".to_owned()));
            }
            let caller = config::Caller::new(credential, options::class(*paying));
            let order = order::Order::SetCaller(name.clone(), caller);
            submit(client, options, &order, Condition::default()).await
        }
        options::Caller::Remove { name } => {
            let order = order::Order::RemoveCaller(name.clone());
            submit(client, options, &order, Condition::default()).await
        }
    }
}

async fn move_traffic(
    client: &Client<'_>,
    options: &Options,
    command: &options::Move,
) -> Result<(), Error> {
    match command {
        options::Move::Start { to, within, service } => {
            let deadline = since_epoch() + **within;
            let start = moves::Start { to: to.clone(), from: None, deadline };
            let body = serde_json::to_vec(&start).expect("an order is plain data");
            let path = format!("/v1/moves/{service}");
            let accepted: moves::Accepted = client.post(&path, body, Condition::default()).await?;
            match options.json {
                true => print::json(&accepted),
                false => println!("started the move of {service} to {to}"),
            }
            Ok(())
        }
        options::Move::Status => {
            let all: IndexMap<name::Name, moves::Status> = client.get("/v1/moves").await?;
            if options.json {
                print::json(&all);
                return Ok(());
            }
            for (service, status) in &all {
                println!("{service}: {}", watch::progress(status));
            }
            Ok(())
        }
        options::Move::Watch { service } => watch::until_moved(client, service).await,
        options::Move::Back { service } => {
            let path = format!("/v1/moves/{service}/back");
            let accepted: moves::Accepted =
                client.post(&path, Vec::new(), Condition::default()).await?;
            match options.json {
                true => print::json(&accepted),
                false => println!("{service} is back on its old version"),
            }
            Ok(())
        }
    }
}

fn since_epoch() -> std::time::Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
