package org.shoreusher.core;

import org.shoreusher.core.cluster.ShardContext;
import org.shoreusher.core.job.HighWaterMarks;
import org.shoreusher.core.job.OpenJobs;
import org.shoreusher.core.job.RunTimeEstimates;
import org.shoreusher.core.job.ShardJobs;
import org.shoreusher.core.job.TerminalStateWriter;
import org.shoreusher.core.leadership.ShardLeadership;
import org.shoreusher.core.machine.CloudInventory;
import org.shoreusher.core.machine.MachineLifecycle;
import org.shoreusher.core.machine.MachineRecords;
import org.shoreusher.core.machine.ShardMachines;
import org.shoreusher.core.machine.TerminatedMachines;
import org.shoreusher.core.message.WorkerOrder;
import org.shoreusher.core.schedule.BinPackerFactory;
import org.shoreusher.core.schedule.JobQueue;
import org.shoreusher.core.schedule.QuotaHeadroom;
import org.shoreusher.core.schedule.QuotaShares;
import org.shoreusher.core.schedule.SchedulingOrder;
import org.shoreusher.core.schedule.ShardScheduling;
import org.shoreusher.core.schedule.TaskMigration;
import org.shoreusher.core.schedule.TaskStopper;

/** Creates the collaborators of a led shard, grouped by package. */
final class ShardAssembly {
    private final NodeServices services;
    private final ShardContext context;
    private final ShardLeadership leadership;
    private final RunTimeEstimates runTimeEstimates;

    ShardAssembly(
            NodeServices services,
            ShardContext context,
            ShardLeadership leadership,
            RunTimeEstimates runTimeEstimates) {
        this.services = services;
        this.context = context;
        this.leadership = leadership;
        this.runTimeEstimates = runTimeEstimates;
    }

    /** Creates this shard's shares of the quotas of all teams. */
    QuotaShares createQuotaShares() {
        return new QuotaShares(
                context.state().shardNumber(),
                context.state().shardCount(),
                context.settings(),
                context.outbox(),
                services.context().storeCache(),
                leadership.fencingPrecondition());
    }

    /** Creates the classes that assign tasks to machines and stop tasks. */
    ShardScheduling createScheduling(QuotaHeadroom quotaHeadroom) {
        SchedulingOrder schedulingOrder = new SchedulingOrder(context.settings(), runTimeEstimates);
        TaskStopper taskStopper = new TaskStopper(context);
        TaskMigration taskMigration =
                new TaskMigration(
                        context, schedulingOrder, runTimeEstimates, quotaHeadroom, taskStopper);
        return new ShardScheduling(
                schedulingOrder,
                new JobQueue(context, schedulingOrder),
                quotaHeadroom,
                new BinPackerFactory(context.state(), quotaHeadroom, taskMigration::spreadLimit),
                taskStopper,
                taskMigration);
    }

    /** Creates the classes that manage the shard's jobs and their stored records. */
    ShardJobs createJobs(ShardScheduling scheduling) {
        OpenJobs openJobs =
                new OpenJobs(
                        context,
                        scheduling.taskMigration()::onJobClosed,
                        attempt ->
                                scheduling
                                        .taskStopper()
                                        .sendStop(attempt, WorkerOrder.NO_GRACE_PERIOD_S));
        HighWaterMarks highWaterMarks =
                new HighWaterMarks(
                        context.state().shardNumber(),
                        context.state().shardCount(),
                        context.nodeContext(),
                        services.submissionBatches(),
                        leadership,
                        context.state().jobs());
        TerminalStateWriter terminalStateWriter =
                new TerminalStateWriter(
                        context.outbox(),
                        services.context().storeCache(),
                        services.submissionBatches(),
                        leadership);
        return new ShardJobs(
                openJobs,
                highWaterMarks,
                terminalStateWriter,
                runTimeEstimates,
                services.submissionBatches());
    }

    /** Creates the classes that manage the shard's machines and their stored records. */
    ShardMachines createMachines() {
        TerminatedMachines terminatedMachines = new TerminatedMachines();
        MachineRecords machineRecords =
                new MachineRecords(context, services.machineIndex(), leadership);
        MachineLifecycle lifecycle =
                new MachineLifecycle(
                        context, services.typeCatalog(), machineRecords, terminatedMachines);
        return new ShardMachines(
                services.typeCatalog(),
                services.machineIndex(),
                machineRecords,
                lifecycle,
                new CloudInventory(context, services.typeCatalog(), lifecycle, terminatedMachines),
                terminatedMachines);
    }
}
