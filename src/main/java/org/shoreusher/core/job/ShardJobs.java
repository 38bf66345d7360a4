package org.shoreusher.core.job;

/**
 * The objects of one shard in this package that other packages use.
 *
 * @param openJobs the shard's open jobs
 * @param highWaterMarks the durable high-water marks of the jobs
 * @param terminalStateWriter writes the terminal states of jobs
 * @param runTimeEstimates estimates the run times of tasks
 * @param submissionBatches jobs that were accepted together and share a stored record
 */
public record ShardJobs(
        OpenJobs openJobs,
        HighWaterMarks highWaterMarks,
        TerminalStateWriter terminalStateWriter,
        RunTimeEstimates runTimeEstimates,
        SubmissionBatches submissionBatches) {}
