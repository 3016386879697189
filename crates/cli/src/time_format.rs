//! Formats times and durations for people.

const MS_PER_S: u64 = 1_000;
const S_PER_MINUTE: u64 = 60;
const S_PER_HOUR: u64 = 3_600;
const S_PER_DAY: u64 = 86_400;

/// Formats a time, in milliseconds since the Unix epoch, as a UTC timestamp.
pub(crate) fn format_utc(unix_ms: u64) -> String {
    let seconds = unix_ms / MS_PER_S;
    let (year, month, day) = civil_date(seconds / S_PER_DAY);
    let hour = seconds % S_PER_DAY / S_PER_HOUR;
    let minute = seconds % S_PER_HOUR / S_PER_MINUTE;
    let second = seconds % S_PER_MINUTE;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts a number of days since the Unix epoch to the Gregorian year, month and day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // The calculation starts years in March, so that the leap day is the last day of a year.
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 {
        shifted_month + 3
    } else {
        shifted_month - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Formats a duration in its two largest units.
pub(crate) fn format_duration(duration_ms: u64) -> String {
    let seconds = duration_ms / MS_PER_S;
    match seconds {
        0..S_PER_MINUTE => format!("{}.{:03}s", seconds, duration_ms % MS_PER_S),
        S_PER_MINUTE..S_PER_HOUR => {
            format!("{}m{:02}s", seconds / S_PER_MINUTE, seconds % S_PER_MINUTE)
        }
        S_PER_HOUR..S_PER_DAY => {
            let minutes = seconds % S_PER_HOUR / S_PER_MINUTE;
            format!("{}h{minutes:02}m", seconds / S_PER_HOUR)
        }
        _ => {
            let hours = seconds % S_PER_DAY / S_PER_HOUR;
            format!("{}d{hours:02}h", seconds / S_PER_DAY)
        }
    }
}
