package org.shoreusher.settings;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.shoreusher.wire.FieldMap;

/**
 * A section of the features file. Each key that is read becomes known; {@link #finish} rejects the
 * others. Values are checked for type and range when they are read.
 */
final class FeatureSection {
    private final String name;
    private final Map<String, Object> values;
    private final Set<String> known = new LinkedHashSet<>();

    FeatureSection(String name, Map<String, Object> values) {
        this.name = name;
        this.values = values;
    }

    /** An optional boolean with a default value. */
    boolean flag(String key, boolean otherwise) throws Settings.Invalid {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw wrong(key, "true or false");
    }

    /** An optional number with inclusive bounds and a default value. */
    double number(String key, double least, double most, double otherwise) throws Settings.Invalid {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Number number
                && number.doubleValue() >= least
                && number.doubleValue() <= most) {
            return number.doubleValue();
        }
        throw wrong(key, "a number from " + text(least) + " to " + text(most));
    }

    /** An optional integer with inclusive bounds and a default value. */
    int whole(String key, int least, int most, int otherwise) throws Settings.Invalid {
        Object value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (value instanceof Long number && number >= least && number <= most) {
            return number.intValue();
        }
        throw wrong(key, "a whole number from " + least + " to " + most);
    }

    /** A nested section; null if it is absent. */
    FeatureSection section(String key) throws Settings.Invalid {
        if (value(key) == null) {
            return null;
        }
        try {
            return new FeatureSection(path(key), new FieldMap(values).map(key).asMap());
        } catch (FieldMap.Missing e) {
            throw wrong(key, "a section");
        }
    }

    /** All keys of this section. */
    Set<String> names() {
        return values.keySet();
    }

    /** Rejects keys that have not been read. */
    void finish() throws Settings.Invalid {
        for (String key : values.keySet()) {
            if (!known.contains(key)) {
                throw new Settings.Invalid(
                        "features: " + path(key) + " is unknown; allowed are " + known);
            }
        }
    }

    private Object value(String key) {
        known.add(key);
        return values.get(key);
    }

    private Settings.Invalid wrong(String key, String allowed) {
        return new Settings.Invalid("features: " + path(key) + " must be " + allowed);
    }

    private String path(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    private static String text(double bound) {
        return bound == Math.rint(bound) ? String.valueOf((long) bound) : String.valueOf(bound);
    }
}
