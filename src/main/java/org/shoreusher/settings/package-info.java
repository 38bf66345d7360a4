/**
 * The settings file of the platform, the operators' features file, and constants that several
 * packages share.
 *
 * <p>Guarantees: both files are validated completely before the controller starts. An invalid file
 * is rejected with one sentence that names the file, the field, what was found and what is allowed.
 * Of the store's current and future limits, the stricter one applies.
 *
 * <p>May use {@code wire}, and the settings records of {@code balance} and {@code standby}.
 */
package org.shoreusher.settings;
