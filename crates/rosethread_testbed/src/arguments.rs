//! Command-line parsing for the examples.

use std::io::{self, Write};

use getopts::{Matches, Options};

/// Parses the command line of an example; `description` is the first line of its usage text.
///
/// Prints the usage text and returns `None` if `--help` is given. Fails on an unknown option and on
/// a positional argument.
pub fn parse_arguments(description: &str, mut options: Options) -> io::Result<Option<Matches>> {
    options.optflag("h", "help", "print this text and exit");
    let matches = options.parse(std::env::args().skip(1)).map_err(io::Error::other)?;
    if let Some(extra) = matches.free.first() {
        return Err(io::Error::other(format!("{extra}: unexpected argument; see --help")));
    }
    if matches.opt_present("help") {
        io::stdout().write_all(options.usage(description).as_bytes())?;
        return Ok(None);
    }
    Ok(Some(matches))
}
