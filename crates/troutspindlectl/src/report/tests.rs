use super::*;
use crate::generate::generate;
use crate::replay::replay;

#[test]
fn a_page_needs_nothing_from_elsewhere_and_escapes_what_it_shows() {
    let figures = replay(&generate(1, 8, 6, || ()), || ());
    let page = page(&figures, "<script>alert(1)</script>");
    assert!(page.contains("<svg") && !page.contains("<script"));
    assert!(!page.contains("src=") && !page.contains("href="));
    assert!(text(&figures).contains("unknown"));
    // Nothing at all is shown as such.
    assert!(super::text(&Figures::default()).contains("0 jobs"));
    assert!(super::page(&Figures::default(), "x").contains("<svg"));
}
