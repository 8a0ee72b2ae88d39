use super::*;

#[test]
fn only_machines_with_room_are_looked_at() {
    let mut s = FreeCapacityIndex::default();
    let group = |spot| MachineGroup { machine_type: TypeIdx(0), zone: ZoneIdx(0), spot };
    let image = ImageIdx(4);
    let place =
        |spot, free_cpu| Some(CapacityEntry { group: group(spot), free_cpu, images: vec![image] });
    for i in 0..100 {
        s.set(MachineIdx(i), place(i % 2 == 0, 0));
    }
    s.set(MachineIdx(7), Some(CapacityEntry { images: Vec::new(), ..place(false, 2000).unwrap() }));
    s.set(MachineIdx(9), place(false, 4000));
    s.set(MachineIdx(9), place(false, 3000));
    let cached = |s: &FreeCapacityIndex, least| s.with_image(group(false), image, least).count();
    assert_eq!((cached(&s, 1), cached(&s, 0)), (1, 49));
    let found = |least| s.with_free(group(false), least).collect::<Vec<_>>();
    assert_eq!(found(1), [MachineIdx(9), MachineIdx(7)]);
    assert_eq!(found(3000), [MachineIdx(9)]);
    s.set(MachineIdx(9), None);
    assert_eq!((s.with_free(group(false), 1).count(), cached(&s, 1)), (1, 0));
    assert_eq!(s.with_free(group(true), 0).count(), 50);
}
