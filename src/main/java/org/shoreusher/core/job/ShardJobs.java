package org.shoreusher.core.job;

/**
 * The job collaborators of a shard that other packages use.
 *
 * @param openJobs the shard's open jobs
 * @param highWaterMarks up to which task each job may have been started
 * @param terminalStateWriter writes the terminal states of jobs
 * @param runTimeEstimates estimates of the run times of tasks
 * @param submissionBatches jobs that were accepted together and share a stored record
 */
public record ShardJobs(
        OpenJobs openJobs,
        HighWaterMarks highWaterMarks,
        TerminalStateWriter terminalStateWriter,
        RunTimeEstimates runTimeEstimates,
        SubmissionBatches submissionBatches) {}
