//! Tables on standard output.

/// Prints the header and the rows; each column is as wide as its widest cell.
pub fn print(header: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        let line: Vec<String> = cells.collect();
        println!("{}", line.join("  ").trim_end());
    }
}
