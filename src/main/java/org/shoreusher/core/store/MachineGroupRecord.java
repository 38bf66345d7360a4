package org.shoreusher.core.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;

/**
 * The records of machines whose ids differ only in the last characters, stored under one key.
 * Machines that are provisioned together have consecutive ids, so hundreds of them take only a few
 * writes. The names of machine types and zones are stored once and referred to by index. The fields
 * of each machine are stored as a list, in the order of the components of {@link MachineRecord},
 * with 1 for true and 0 for false.
 *
 * @param machines the records by machine id
 */
public record MachineGroupRecord(Map<String, MachineRecord> machines) {
    /**
     * Reads the group from its stored fields.
     *
     * @param key the key of the group, which ends with the common prefix of the machine ids
     * @param value the stored fields
     */
    public static MachineGroupRecord fromMap(String key, Map<String, Object> value) {
        try {
            FieldMap fields = new FieldMap(value);
            List<String> names = fields.texts("names");
            Map<String, MachineRecord> machines = new TreeMap<>();
            for (Map.Entry<String, Object> entry : fields.map("machines").asMap().entrySet()) {
                List<?> machineFields = (List<?>) entry.getValue();
                machines.put(
                        key.substring(StoreSchema.MACHINE_PREFIX.length()) + entry.getKey(),
                        new MachineRecord(
                                (int) wholeNumber(machineFields, 0),
                                names.get((int) wholeNumber(machineFields, 1)),
                                names.get((int) wholeNumber(machineFields, 2)),
                                wholeNumber(machineFields, 3) == 1,
                                wholeNumber(machineFields, 4),
                                wholeNumber(machineFields, 5) == 1));
            }
            return new MachineGroupRecord(machines);
        } catch (FieldMap.InvalidFieldException
                | ClassCastException
                | IndexOutOfBoundsException invalid) {
            throw new CorruptRecordException("a group of machine records", value, invalid);
        }
    }

    private static long wholeNumber(List<?> fields, int index) {
        return ((Number) fields.get(index)).longValue();
    }

    /**
     * Returns the stored fields of a group of these machines.
     *
     * @param key the key of the group
     * @param machines the records by machine id
     * @return the fields, or null if there are no machines; writing null removes the key
     */
    public static Map<String, Object> toMap(String key, Map<String, MachineRecord> machines) {
        if (machines.isEmpty()) {
            return null;
        }
        List<String> names = new ArrayList<>();
        Map<String, Object> machineFields = new LinkedHashMap<>();
        machines.forEach(
                (machineId, machine) ->
                        machineFields.put(
                                machineId.substring(
                                        key.length() - StoreSchema.MACHINE_PREFIX.length()),
                                List.of(
                                        (long) machine.shardNumber(),
                                        nameIndex(names, machine.type()),
                                        nameIndex(names, machine.zone()),
                                        machine.spot() ? 1L : 0L,
                                        machine.provisionedWallMs(),
                                        machine.mayHaveRunTasks() ? 1L : 0L)));
        return Map.of("names", names, "machines", machineFields);
    }

    private static long nameIndex(List<String> names, String name) {
        if (!names.contains(name)) {
            names.add(name);
        }
        return names.indexOf(name);
    }
}
