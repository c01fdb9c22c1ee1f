//! Index of machines by container image.

use super::model::{Bin, BinIndex, PlacementRequest};
use crate::ids::Amount;
use foldhash::HashMap;
use std::sync::Arc;

/// Map from each requested image to the machines that have it and may have enough free capacity, in
/// order of their index.
pub(super) struct ImageIndex(HashMap<u32, Arc<[BinIndex]>>);

impl ImageIndex {
    pub(super) fn new(bins: &[Bin], requests: &[PlacementRequest]) -> ImageIndex {
        let mut by_image: HashMap<u32, Vec<BinIndex>> =
            requests.iter().map(|request| (request.image, Vec::new())).collect();
        // Skips machines into which no request fits; in a busy fleet, these are most machines.
        let smallest: Amount = requests
            .iter()
            .map(|request| request.resources)
            .reduce(|a, b| a.min(&b))
            .unwrap_or_default();
        for (i, bin) in bins.iter().enumerate().filter(|(_, bin)| smallest.fits(&bin.free)) {
            for image in bin.images.iter() {
                if let Some(with_image) = by_image.get_mut(image) {
                    with_image.push(BinIndex(i));
                }
            }
        }
        let sorted = by_image.into_iter().map(|(image, mut with_image)| {
            with_image.sort_by_key(|bin| (bins[bin.0].index, *bin));
            (image, Arc::from(with_image))
        });
        ImageIndex(sorted.collect())
    }

    pub(super) fn bins_with(&self, image: u32) -> Arc<[BinIndex]> {
        self.0.get(&image).cloned().unwrap_or_default()
    }
}
