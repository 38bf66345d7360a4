package org.shoreusher.settings;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.shoreusher.wire.FieldMap;

/**
 * A section of the features file. Each key that is read becomes known; {@link #rejectUnknownKeys}
 * rejects the others. Values are checked for type and range when they are read.
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
    boolean flagOr(String key, boolean defaultValue) throws InvalidSettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw invalid(key, "true or false");
    }

    /** An optional number with inclusive bounds and a default value. */
    double numberOr(String key, double minimum, double maximum, double defaultValue)
            throws InvalidSettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number
                && number.doubleValue() >= minimum
                && number.doubleValue() <= maximum) {
            return number.doubleValue();
        }
        throw invalid(key, "a number from " + text(minimum) + " to " + text(maximum));
    }

    /** An optional integer with inclusive bounds and a default value. */
    int integerOr(String key, int minimum, int maximum, int defaultValue)
            throws InvalidSettingsException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long number && number >= minimum && number <= maximum) {
            return number.intValue();
        }
        throw invalid(key, "a whole number from " + minimum + " to " + maximum);
    }

    /** A nested section; null if it is absent. */
    FeatureSection sectionOrNull(String key) throws InvalidSettingsException {
        if (value(key) == null) {
            return null;
        }
        try {
            return new FeatureSection(path(key), new FieldMap(values).map(key).asMap());
        } catch (FieldMap.InvalidFieldException e) {
            throw invalid(key, "a section");
        }
    }

    /** All keys of this section. */
    Set<String> keys() {
        return values.keySet();
    }

    /** Rejects keys that have not been read. */
    void rejectUnknownKeys() throws InvalidSettingsException {
        for (String key : values.keySet()) {
            if (!known.contains(key)) {
                throw InvalidSettingsException.ofField(
                        InvalidSettingsException.Source.FEATURES,
                        path(key),
                        "is unknown; allowed are " + known);
            }
        }
    }

    private Object value(String key) {
        known.add(key);
        return values.get(key);
    }

    private InvalidSettingsException invalid(String key, String allowed) {
        return InvalidSettingsException.ofField(
                InvalidSettingsException.Source.FEATURES, path(key), "must be " + allowed);
    }

    private String path(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    private static String text(double bound) {
        return bound == Math.rint(bound) ? String.valueOf((long) bound) : String.valueOf(bound);
    }
}
