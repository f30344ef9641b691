//! `hollowsail status`

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// show revision, entries and targets as one entry sees them
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Arguments {
    /// operators' listener of an entry, IP:PORT
    #[argh(option)]
    operators: String,

    /// operators' key
    #[argh(option)]
    key: String,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        let operator = ops::operator::Operator {
            address: self.operators,
            key: self.key,
        };
        ops::status::run(cx, &operator, self.json).await
    }
}
