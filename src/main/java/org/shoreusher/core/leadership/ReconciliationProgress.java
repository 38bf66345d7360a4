package org.shoreusher.core.leadership;

/**
 * How far the reconciliation of a shard has come after its leadership was acquired. Written by the
 * reconciliation alone; everything else reads it.
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
     * Returns whether all attempts on machines are known: from the replicated log, or because every
     * machine has sent a heartbeat or its worker lease has certainly expired.
     */
    public boolean isComplete() {
        return complete;
    }

    /** Returns the CPUs of machines whose tasks are unknown; tasks of any team may use them. */
    public double unreconciledCpus() {
        return unreconciledCpus;
    }

    /** Returns the GPUs of machines whose tasks are unknown; tasks of any team may use them. */
    public double unreconciledGpus() {
        return unreconciledGpus;
    }

    /** The stored state has been loaded; this is never undone. */
    public void markLoaded() {
        loaded = true;
    }

    /** All attempts on machines are known. */
    public void markComplete() {
        complete = true;
    }

    /** The replicated log has turned out to be wrong, so the attempts are unknown after all. */
    public void markIncomplete() {
        complete = false;
    }

    /** Sets what machines whose tasks are unknown may be using. */
    public void setUnreconciled(double cpus, double gpus) {
        unreconciledCpus = cpus;
        unreconciledGpus = gpus;
    }
}
