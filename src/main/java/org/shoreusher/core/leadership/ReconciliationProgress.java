package org.shoreusher.core.leadership;

/**
 * The progress of a shard's reconciliation after its leadership was acquired. Only the
 * reconciliation changes it.
 */
public final class ReconciliationProgress {
    private boolean loaded;
    private boolean complete;
    private double unreconciledCpus;
    private double unreconciledGpus;

    /** Returns whether the stored state of the shard has been loaded. */
    boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns whether all attempts on machines are known: from the attempt log, or because every
     * machine has sent a heartbeat or its worker lease has certainly expired.
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns the CPUs of machines whose tasks are unknown; tasks of any team may be using them.
     */
    public double unreconciledCpus() {
        return unreconciledCpus;
    }

    /**
     * Returns the GPUs of machines whose tasks are unknown; tasks of any team may be using them.
     */
    public double unreconciledGpus() {
        return unreconciledGpus;
    }

    /** Records that the stored state has been loaded; this is never undone. */
    public void markLoaded() {
        loaded = true;
    }

    /** Records that all attempts on machines are known. */
    public void markComplete() {
        complete = true;
    }

    /**
     * Records that the attempt log was found to be wrong, so the attempts on machines are not known
     * after all.
     */
    public void markIncomplete() {
        complete = false;
    }

    /** Sets the CPUs and GPUs that tasks may be using on machines whose tasks are unknown. */
    public void setUnreconciled(double cpus, double gpus) {
        unreconciledCpus = cpus;
        unreconciledGpus = gpus;
    }
}
