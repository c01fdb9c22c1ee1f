use super::*;
use crate::generate::generate;
use crate::replay::replay;

#[test]
fn page_has_no_external_references_and_escapes_its_source_name() {
    let figures = replay(&generate(1, 8, 6, || ()), || ());
    let page = page(&figures, "<script>alert(1)</script>");
    assert!(page.contains("<svg") && !page.contains("<script"));
    assert!(!page.contains("src=") && !page.contains("href="));
    assert!(text(&figures).contains("unknown"));
    // Results without any job are shown too.
    assert!(super::text(&Figures::default()).contains("0 jobs"));
    assert!(super::page(&Figures::default(), "x").contains("<svg"));
}
