package org.shoreusher.cloud;

/** Constants of the calls to the cloud, each with its unit and the reason for its value. */
public final class CloudConstants {
    private CloudConstants() {}

    /** ms; timeout of a cloud call. Replies take 150 ms. */
    public static final long CLOUD_TIMEOUT_MS = 4_000;
}
