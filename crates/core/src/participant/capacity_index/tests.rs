use super::*;

#[test]
fn lists_only_machines_with_enough_free_cpu() {
    let mut index = FreeCapacityIndex::default();
    let group = |spot| MachineGroup { machine_type: MachineTypeIdx(0), zone: ZoneIdx(0), spot };
    let image = ImageIdx(4);
    let entry =
        |spot, free_cpu| Some(CapacityEntry { group: group(spot), free_cpu, images: vec![image] });
    for i in 0..100 {
        index.set(MachineIdx(i), entry(i % 2 == 0, 0));
    }
    index.set(
        MachineIdx(7),
        Some(CapacityEntry { images: Vec::new(), ..entry(false, 2000).expect("an entry") }),
    );
    index.set(MachineIdx(9), entry(false, 4000));
    index.set(MachineIdx(9), entry(false, 3000));
    let cached =
        |index: &FreeCapacityIndex, least| index.with_image(group(false), image, least).count();
    assert_eq!((cached(&index, 1), cached(&index, 0)), (1, 49));
    let found = |least| index.with_free_cpu(group(false), least).collect::<Vec<_>>();
    assert_eq!(found(1), [MachineIdx(9), MachineIdx(7)]);
    assert_eq!(found(3000), [MachineIdx(9)]);
    index.set(MachineIdx(9), None);
    assert_eq!((index.with_free_cpu(group(false), 1).count(), cached(&index, 1)), (1, 0));
    assert_eq!(index.with_free_cpu(group(true), 0).count(), 50);
}
