package org.shoreusher.core.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shoreusher.wire.FieldMap;

/**
 * The records of machines with neighbouring names in one value. Machines that are provisioned
 * together are named consecutively, so that hundreds of them cost only a few writes. Machine types
 * and zones are stored once and referred to by index.
 *
 * @param machines the records by machine id
 */
public record MachineGroupRecord(Map<String, MachineRecord> machines) {
    /**
     * Reads the group from its stored fields.
     *
     * @param key the key of the group, from which the machine ids are completed
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
     * @return the fields; null, which removes the key, if there are no machines
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
