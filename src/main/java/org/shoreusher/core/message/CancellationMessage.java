package org.shoreusher.core.message;

import java.util.List;
import java.util.Map;

/**
 * A message between controllers about the cancellation of a job. It may be lost, delayed or
 * repeated: what it states stays true.
 */
public sealed interface CancellationMessage {
    /** The id of the cancelled job. */
    String jobId();

    /**
     * States that the key-value store contains the cancellation, and requests an acknowledgement
     * from a leader.
     *
     * @param senderHost the host to which the acknowledgement is sent
     * @param jobId the id of the cancelled job
     * @param record the stored fields of the job's record
     * @param version the version of the job's record
     */
    record CancellationNotice(
            String senderHost, String jobId, Map<String, Object> record, long version)
            implements CancellationMessage {}

    /**
     * States that the sender has the cancellation in memory, and had a valid lease on these shards
     * after the store contained it.
     *
     * @param jobId the id of the cancelled job
     * @param ledShards the numbers of the shards that the sender led
     */
    record CancellationAcknowledgement(String jobId, List<Integer> ledShards)
            implements CancellationMessage {}
}
