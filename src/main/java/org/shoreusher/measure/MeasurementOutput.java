package org.shoreusher.measure;

import java.util.Locale;

/** Prints the results of measurements to standard output. */
final class MeasurementOutput {
    private MeasurementOutput() {}

    /** Prints a line, formatted independently of the machine's locale. */
    static void print(String format, Object... values) {
        System.out.println(String.format(Locale.ROOT, format, values));
    }
}
