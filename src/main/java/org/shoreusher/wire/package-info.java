/**
 * Formats of the messages to and from users, workers, the store and the cloud, and of stored job
 * specifications. Translates between field names of the protocol and typed messages.
 *
 * <p>Guarantees: formats never change; all versions use the same names and encodings. Input that is
 * not a valid message is rejected with an exception.
 *
 * <p>Uses {@code core.message} only.
 */
package org.shoreusher.wire;
