package org.shoreusher.settings;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.shoreusher.wire.FieldMap;

/**
 * A section of the features file. Every key that is read counts as allowed; {@link
 * #rejectUnknownKeys} rejects all others. Values are checked for type and range when they are read.
 */
final class FeatureSection {
    private final String name;
    private final Map<String, Object> values;
    private final Set<String> allowedKeys = new LinkedHashSet<>();

    FeatureSection(String name, Map<String, Object> values) {
        this.name = name;
        this.values = values;
    }

    /** An optional boolean with a default value. */
    boolean flagOr(String key, boolean defaultValue) throws InvalidSettingsException {
        Object value = readValue(key);
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
        Object value = readValue(key);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number
                && number.doubleValue() >= minimum
                && number.doubleValue() <= maximum) {
            return number.doubleValue();
        }
        throw invalid(key, "a number from " + formatBound(minimum) + " to " + formatBound(maximum));
    }

    /** An optional integer with inclusive bounds and a default value. */
    int integerOr(String key, int minimum, int maximum, int defaultValue)
            throws InvalidSettingsException {
        Object value = readValue(key);
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
        if (readValue(key) == null) {
            return null;
        }
        try {
            return new FeatureSection(path(key), new FieldMap(values).map(key).asMap());
        } catch (FieldMap.InvalidFieldException e) {
            throw invalid(key, "a section");
        }
    }

    /** All keys in this section of the file, allowed or not. */
    Set<String> keys() {
        return values.keySet();
    }

    /** Rejects keys that have not been read, so call it after reading all allowed keys. */
    void rejectUnknownKeys() throws InvalidSettingsException {
        for (String key : values.keySet()) {
            if (!allowedKeys.contains(key)) {
                throw InvalidSettingsException.ofField(
                        InvalidSettingsException.Source.FEATURES,
                        path(key),
                        "is not a known key; remove it or use one of " + allowedKeys);
            }
        }
    }

    private Object readValue(String key) {
        allowedKeys.add(key);
        return values.get(key);
    }

    private InvalidSettingsException invalid(String key, String allowed) {
        return InvalidSettingsException.ofField(
                InvalidSettingsException.Source.FEATURES,
                path(key),
                "must be " + allowed + InvalidSettingsException.found(values.get(key)));
    }

    private String path(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    private static String formatBound(double bound) {
        return bound == Math.rint(bound) ? String.valueOf((long) bound) : String.valueOf(bound);
    }
}
