/**
 * The settings file of the platform, the operators' features file, and constants that several
 * packages share. Both files are validated completely before the controller starts; errors are one
 * sentence that names the file, the field and the problem. Uses {@code wire} for parsing, and the
 * settings records of {@code balance} and {@code standby}.
 */
package org.shoreusher.settings;
