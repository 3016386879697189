//! Plays one case: `standin CASE RECORD`, run in the project's root. `TROUBLE=0` leaves the disruption out.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod base;
mod cases;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let path = arguments.next().unwrap_or_else(|| "record.txt".to_owned());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // No case may run longer than its time.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(117));
        eprintln!("overdue");
        base::end_programs();
        std::process::exit(2);
    });
    let record = base::Record::create(std::path::Path::new(&path));
    let broken = cases::play(&case, trouble, &record);
    record.line(match broken {
        true => "the rule is BROKEN",
        false => "the rule held",
    });
    std::process::exit(i32::from(broken));
}
