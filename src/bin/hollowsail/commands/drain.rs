//! `hollowsail drain`

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// give a target no new work, before the host list says so
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Arguments {
    /// name of the target
    #[argh(positional)]
    host: String,

    /// operators' listener of an entry, IP:PORT
    #[argh(option)]
    operators: String,

    /// operators' key
    #[argh(option)]
    key: String,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        let operator = ops::operator::Operator {
            address: self.operators,
            key: self.key,
        };
        ops::drain::run(cx, &operator, &self.host).await
    }
}
