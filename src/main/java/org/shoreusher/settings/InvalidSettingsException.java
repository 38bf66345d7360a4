package org.shoreusher.settings;

/**
 * Thrown for a settings or features file that cannot be used. The message is one sentence for the
 * operator, which names the file, the field and what is wrong with it.
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

        /** The name in messages. */
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
                source, field, source.label() + ": " + field + " " + problem);
    }

    /** A file that is unreadable or malformed as a whole. */
    static InvalidSettingsException ofFile(Source source, String problem) {
        return new InvalidSettingsException(source, "", source.label() + " " + problem);
    }

    /** The kind of file that is invalid. */
    public Source source() {
        return source;
    }

    /** The path of the invalid field; empty if the file as a whole is. */
    public String field() {
        return field;
    }
}
