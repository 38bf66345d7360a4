package org.shoreusher.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreusher.settings.InvalidSettingsException.Source;
import org.shoreusher.wire.FieldMap;

/** A section of the settings file. Errors name the path of the field from the root. */
final class SettingsSection {
    private final String path;
    private final FieldMap fields;

    private SettingsSection(String path, FieldMap fields) {
        this.path = path;
        this.fields = fields;
    }

    /** The whole file. */
    static SettingsSection root(FieldMap fields) {
        return new SettingsSection("", fields);
    }

    /** The path of a field from the root. */
    String path(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    /** Whether a field is present and not null. */
    boolean has(String field) {
        return fields.has(field);
    }

    /** A required section. */
    SettingsSection section(String field) throws InvalidSettingsException {
        return new SettingsSection(path(field), read(field, () -> fields.map(field)));
    }

    /** An optional section; empty if it is absent. */
    SettingsSection sectionOrEmpty(String field) throws InvalidSettingsException {
        return has(field)
                ? section(field)
                : new SettingsSection(path(field), new FieldMap(Map.of()));
    }

    /** A list of sections; empty if it is absent. */
    List<SettingsSection> sections(String field) throws InvalidSettingsException {
        List<SettingsSection> sections = new ArrayList<>();
        for (FieldMap element : read(field, () -> fields.maps(field))) {
            sections.add(new SettingsSection(path(field) + "[" + sections.size() + "]", element));
        }
        return sections;
    }

    /** A required text. */
    String text(String field) throws InvalidSettingsException {
        return read(field, () -> fields.text(field));
    }

    /** An optional text with a default value. */
    String textOr(String field, String defaultValue) throws InvalidSettingsException {
        return read(field, () -> fields.textOr(field, defaultValue));
    }

    /** A list of text; empty if it is absent. */
    List<String> texts(String field) throws InvalidSettingsException {
        return read(field, () -> fields.texts(field));
    }

    /** A required finite number. */
    double number(String field) throws InvalidSettingsException {
        return read(field, () -> fields.number(field));
    }

    /** An optional finite number with a default value. */
    double numberOr(String field, double defaultValue) throws InvalidSettingsException {
        return read(field, () -> fields.numberOr(field, defaultValue));
    }

    /** A required address: an IP address and a port. */
    Settings.Address address(String field) throws InvalidSettingsException {
        String text = text(field);
        return Settings.Address.parse(text)
                .orElseThrow(
                        () ->
                                invalid(
                                        field,
                                        "must be an address like 10.0.0.1:8080"
                                                + InvalidSettingsException.found(text)));
    }

    /** The error for a field of this section; {@code problem} follows the field's path. */
    InvalidSettingsException invalid(String field, String problem) {
        return InvalidSettingsException.ofField(Source.SETTINGS, path(field), problem);
    }

    /** Reads a field of a {@link FieldMap}. */
    private interface FieldReader<T> {
        T read() throws FieldMap.InvalidFieldException;
    }

    private <T> T read(String field, FieldReader<T> reader) throws InvalidSettingsException {
        try {
            return reader.read();
        } catch (FieldMap.InvalidFieldException e) {
            throw invalid(
                    field, e.problem() + InvalidSettingsException.found(fields.asMap().get(field)));
        }
    }
}
