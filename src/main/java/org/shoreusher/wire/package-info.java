/**
 * Formats of the messages to and from other systems. This package alone knows the field names of
 * the protocol; callers see typed messages or {@link org.shoreusher.wire.FieldMap}. Formats never
 * change: names and forms on the wire are kept for all versions. Uses {@code core.message} only.
 */
package org.shoreusher.wire;
