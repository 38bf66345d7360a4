package org.shoreusher.settings;

import java.util.List;
import java.util.Map;

/**
 * Thrown for a settings or features file that is unreadable or invalid. The message is one sentence
 * for the operator, which names the file, the field, what was found and what is allowed.
 */
public final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The kinds of files that operators provide. */
    public enum Source {
        /** The settings file of the platform. */
        SETTINGS("settings"),
        /** The file with the optional features. */
        FEATURES("features");

        private final String label;

        Source(String label) {
            this.label = label;
        }

        /** The name of the file in messages. */
        public String label() {
            return label;
        }
    }

    private final Source source;
    private final String field;

    private InvalidSettingsException(Source source, String field, String message) {
        super(message);
        this.source = source;
        this.field = field;
    }

    /** An invalid field, named by its path from the root of the file. */
    static InvalidSettingsException ofField(Source source, String field, String problem) {
        return new InvalidSettingsException(
                source, field, source.label() + " file: " + field + " " + problem);
    }

    /** A file that is unreadable or malformed; {@code problem} follows "settings file". */
    static InvalidSettingsException ofFile(Source source, String problem) {
        return new InvalidSettingsException(source, "", source.label() + " file " + problem);
    }

    /**
     * The part of a message that shows the value of an invalid field. Empty for a list, since the
     * problem may be one of its elements.
     */
    static String found(Object value) {
        if (value == null) {
            return "; it is missing";
        }
        if (value instanceof List<?>) {
            return "";
        }
        if (value instanceof Map<?, ?>) {
            return "; found a section";
        }
        if (value instanceof String text) {
            return "; found '" + text.lines().findFirst().orElse("") + "'";
        }
        return "; found " + value;
    }

    /** The kind of file that is invalid. */
    public Source source() {
        return source;
    }

    /** The path of the invalid field; empty if the whole file is unreadable or malformed. */
    public String field() {
        return field;
    }
}
