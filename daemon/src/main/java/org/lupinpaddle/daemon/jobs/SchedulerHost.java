/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.jobs;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.capacity.ServiceReport;
import org.lupinpaddle.core.common.Clock;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.cordon.HallCordons;
import org.lupinpaddle.core.fleet.InstanceList;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.run.AdviceCallQueue;
import org.lupinpaddle.core.run.AdviceRequest;
import org.lupinpaddle.core.run.AdviceResponse;
import org.lupinpaddle.core.run.HoldOrder;
import org.lupinpaddle.core.run.LoadSummary;
import org.lupinpaddle.core.run.MemoryUse;
import org.lupinpaddle.core.run.OrderOutcome;
import org.lupinpaddle.core.run.PaceOrder;
import org.lupinpaddle.core.run.SchedulerEvent;
import org.lupinpaddle.core.run.SchedulerPort;
import org.lupinpaddle.core.run.SchedulerTiming;
import org.lupinpaddle.core.run.ServiceScheduler;
import org.lupinpaddle.core.run.StartOrder;
import org.lupinpaddle.core.run.StopOrder;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.jobs.UnreadableEntries.Kind;
import org.lupinpaddle.daemon.port.HoldResult;
import org.lupinpaddle.daemon.port.InstanceOrders;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.StartResult;
import org.lupinpaddle.daemon.port.StoreChanges;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.WorkerOrders;

/**
 * Runs the scheduler of one service while this entry owns it: reads what earlier owners stored, watches for new jobs,
 * sends orders and makes progress durable. Everything runs on the event loop.
 */
final class SchedulerHost implements SchedulerPort, AdviceCallQueue.Caller, PrefixWatch.Listener, AutoCloseable {

    private static final long TICK_MILLIS = 25;
    // An entry has less than one core, and events arrive every few milliseconds under load.
    private static final long MIN_TICK_GAP_MILLIS = 5;
    private static final long RETRY_MILLIS = 150;
    // Counts of pending jobs may be 2 s old when they are reported; pools are sized by the same report.
    private static final long REPORT_MILLIS = 400;
    private static final long REPORT_CHECK_MILLIS = 120;
    private static final long MISSING_WORKER_CHECK_MILLIS = 700;
    private static final long REMOVAL_INTERVAL_MILLIS = 5_000;
    // Received results are still worth writing when the store recovers from an outage of 3 to 9 s. If the ownership
    // key still exists then, no other entry owns the service and the write succeeds.
    private static final long FINAL_WRITE_MILLIS = 10_000;
    // One line per second and service; it is the first thing an on-call engineer looks for.
    private static final long LOAD_LOG_MILLIS = 1_000;
    // Limits the length of a log line; entry-unreadable tells each row.
    private static final int MAX_ROWS_LOGGED = 3;

    private final Context context;
    private final String service;
    private final long fence;
    private final Runnable onOwnershipLost;
    private final StartupWatchdog watchdog;
    private final long startedAt;
    private final FencedRecordWriter records;
    private final PrefixWatch inputs;
    private final EvacuationFeed evacuations;
    private final RecoveredJobs recovered;
    private final QuotaManager quotas;

    /** Jobs whose records caused an unexpected error in this owner. */
    private final Set<JobKey> unprocessable = new HashSet<>();

    private @Nullable ServiceScheduler scheduler;
    private final WorkerFeed workers;
    private @Nullable ServiceReport reported;
    private long reportedAt = Long.MIN_VALUE / 2;
    private boolean reporting;
    private boolean tickQueued;
    private long tickedAt;
    private @Nullable CompletableFuture<Void> handedOver;
    private long closedAt;
    private boolean closed;
    /** Whether another owner is known to have taken over, so that this owner's writes no longer count. */
    private boolean superseded;

    /**
     * The components that all schedulers of an entry share.
     *
     * @param store the platform's store
     * @param orders sends orders to workers
     * @param advice the calls to the advice service
     * @param instances lists the instances
     * @param loop the event loop
     * @param reachesStore whether the store answers this entry
     * @param wall the wall clock
     * @param timing the scheduler's timing
     * @param meters the entry's metrics
     * @param unreadable the unreadable entries of the store
     * @param workspaces supplies the workspaces of the current configuration
     * @param configuration supplies the newest known configuration
     * @param cordons supplies the current view of cordoned data halls
     * @param coldStartsPerSecond returns a service's configured rate limit of starts on a cold worker; 0 for no limit
     * @param maxTasks returns how many tasks a service may have in progress
     */
    record Context(
            KeyValueStore store,
            WorkerOrders orders,
            AdviceCalls advice,
            InstanceOrders instances,
            EventLoop loop,
            BooleanSupplier reachesStore,
            Clock wall,
            SchedulerTiming timing,
            JobMetrics meters,
            UnreadableEntries unreadable,
            Supplier<ActiveWorkspaces> workspaces,
            Supplier<Optional<JobConfiguration>> configuration,
            Supplier<HallCordons> cordons,
            ToDoubleFunction<String> coldStartsPerSecond,
            IntSupplier maxTasks) {}

    /**
     * Creates the host.
     *
     * @param onOwnershipLost runs when another owner is known to have taken over
     * @param onStartStalled runs when reading the records of earlier owners makes no progress
     */
    SchedulerHost(
            Context context,
            String service,
            long fence,
            WorkerFeed workers,
            Runnable onOwnershipLost,
            Runnable onStartStalled) {
        this.context = context;
        this.service = service;
        this.fence = fence;
        this.workers = workers;
        this.onOwnershipLost = onOwnershipLost;
        watchdog = new StartupWatchdog(
                context.loop, () -> !closed && scheduler == null, context.reachesStore, onStartStalled);
        startedAt = context.loop.clock().millis();
        records = new FencedRecordWriter(context.store, context.loop, service, fence);
        quotas = new QuotaManager(context, service, fence, this::requestTick);
        recovered = new RecoveredJobs(records, context.loop, service, context.unreadable);
        inputs = new PrefixWatch(context.store, context.loop, SchedulerKeys.inputs(service), this);
        evacuations = new EvacuationFeed(
                context.store,
                context.loop,
                service,
                records,
                context.unreadable,
                (leaving, urgent) -> notifyScheduler(s -> s.onEvacuations(leaving, urgent)));
    }

    /** Reads the records of earlier owners, then starts the scheduler. */
    void start() {
        readProgress();
    }

    /** Returns whether jobs are being scheduled. */
    boolean isStarted() {
        return scheduler != null;
    }

    /** Returns what the jobs take in memory. */
    MemoryUse memoryUse() {
        return scheduler == null ? MemoryUse.NONE : scheduler.memoryUse();
    }

    /** Returns the tasks without a confirmed run. */
    LoadSummary.Waits waits() {
        return scheduler == null ? LoadSummary.Waits.NONE : scheduler.waits();
    }

    private void readProgress() {
        if (closed) {
            return;
        }
        context.store
                .range(SchedulerKeys.progress(service), watchdog::onProgress)
                .whenComplete((r, why) -> context.loop.execute(() -> {
                    if (why != null) {
                        Log.warn("progress-unread", "service", service, "why", StoreFailure.text(why));
                        context.loop.after(RETRY_MILLIS, this::readProgress);
                    } else {
                        recovered.read(r);
                        inputs.start();
                    }
                }));
    }

    @Override
    public void onPage() {
        watchdog.onProgress();
    }

    @Override
    public void onRead() {
        if (closed) {
            return;
        }
        if (scheduler == null) {
            begin();
        }
        context.unreadable.retainOnly(SchedulerKeys.inputs(service), inputs.items());
        processAll(List.copyOf(inputs.items()));
    }

    private void begin() {
        scheduler =
                new ServiceScheduler(service, context.timing, this, quotas.table(), context.loop.clock(), context.wall);
        Collection<WorkerFacts> listed = workers.of(service);
        scheduler.onWorkers(listed);
        evacuations.start();
        Log.info(
                "scheduler-started",
                "service",
                service,
                "fence",
                fence,
                "millis",
                context.loop.clock().millis() - startedAt,
                "inputs",
                inputs.items().size(),
                "workers",
                listed.size(),
                "jobs-known",
                recovered.unclaimedCount(),
                "jobs-over",
                recovered.finishedCount());
        repeat(TICK_MILLIS, this::tick);
        repeat(REPORT_CHECK_MILLIS, this::writeReport);
        repeat(REMOVAL_INTERVAL_MILLIS, this::removeExpired);
        repeat(MISSING_WORKER_CHECK_MILLIS, this::findMissingWorkers);
        repeat(LOAD_LOG_MILLIS, this::logLoad);
    }

    private void repeat(long millis, Runnable step) {
        context.loop.after(millis, () -> {
            if (!closed) {
                // Scheduled first, so that a step which fails is repeated as well.
                repeat(millis, step);
                step.run();
            }
        });
    }

    @Override
    public void onChanges(List<StoreChanges.Change> changes) {
        if (closed) {
            return;
        }
        changes.stream().filter(c -> c.item() == null).forEach(c -> context.unreadable.onRemoved(c.key()));
        processAll(changes.stream()
                .map(StoreChanges.Change::item)
                .filter(Objects::nonNull)
                .toList());
    }

    /** Processes jobs before cancellations, because the scheduler ignores the cancellation of an unknown job. */
    private void processAll(List<StoreItem> items) {
        items.forEach(this::processJob);
        items.forEach(this::processCancellation);
        requestTick();
    }

    private void processJob(StoreItem i) {
        ServiceScheduler s = scheduler;
        JobKey key = SchedulerKeys.jobOf(service, i.key()).orElse(null);
        if (s == null || key == null || unprocessable.contains(key)) {
            return;
        }
        try {
            processJob(s, key, i);
        } catch (RuntimeException | StackOverflowError e) {
            // The other jobs are served. This one is not started, since parts of it may have run already.
            unprocessable.add(key);
            Log.error("job-not-processed", e);
            context.unreadable.markUnreadable(new UnreadableEntries.Entry(
                    Kind.JOB, i.key(), i.revision(), Unreadable.Reason.NOT_PROCESSED.whole()));
            s.onUnreadableJob(key);
        }
    }

    private void processJob(ServiceScheduler s, JobKey key, StoreItem i) {
        if (recovered.isFinished(key)) {
            s.onFinishedJob(key);
            return;
        }
        // A reduced record never starts a job, even if no progress is known for it.
        if (!i.value().equals(JobSpec.FINISHED_MARKER)) {
            JobSpec spec = context.unreadable.recordOrNull(Kind.JOB, i, item -> read(item, key));
            if (spec == null || recovered.isUnreadable(key)) {
                s.onUnreadableJob(key);
            } else {
                s.onJob(spec, recovered.takeProgress(key));
            }
        }
    }

    private Either<Unreadable, JobSpec> read(StoreItem i, JobKey key) {
        return i.read(JobSpec.class)
                .flatMap(s -> s.isStoredUnder(service, key)
                        ? Either.right(s)
                        : Either.left(Unreadable.Reason.NOT_OF_ITS_KEY.in("key")));
    }

    private void processCancellation(StoreItem i) {
        if (scheduler != null) {
            SchedulerKeys.cancelledJobOf(service, i.key()).ifPresent(scheduler::onCancel);
        }
    }

    /** Passes the listed workers of the service to the scheduler. */
    void onWorkers() {
        if (scheduler != null) {
            scheduler.onWorkers(workers.of(service));
            requestTick();
        }
    }

    private void findMissingWorkers() {
        if (scheduler == null || !scheduler.needsInstances()) {
            return;
        }
        long askedAt = context.loop.clock().millis();
        context.instances
                .list()
                .whenComplete((all, why) -> context.loop.execute(() -> {
                    if (why != null) {
                        countInstanceList(InstanceListUse.FAILED, StoreFailure.text(why));
                    } else {
                        onInstances(all, askedAt);
                    }
                }));
    }

    private void onInstances(InstanceList all, long askedAt) {
        InstanceListUse use = InstanceListUse.of(all);
        countInstanceList(use, unreadableRows(all));
        if (use == InstanceListUse.USED) {
            notifyScheduler(s -> s.onInstances(all.instances(), askedAt));
        }
    }

    private void countInstanceList(InstanceListUse use, String why) {
        context.meters.instancesListed(use);
        if (use != InstanceListUse.USED) {
            Log.info("instances-unread", "service", service, "fence", fence, "reason", use, "why", why);
        }
    }

    private static String unreadableRows(InstanceList all) {
        return all.unreadable().size() + " of "
                + (all.unreadable().size() + all.instances().size()) + " rows unreadable: "
                + all.unreadable().entrySet().stream()
                        .limit(MAX_ROWS_LOGGED)
                        .map(e -> e.getKey() + " " + e.getValue())
                        .collect(Collectors.joining(", "));
    }

    /**
     * Schedules one tick for several events, because a pass over all jobs and workers is too expensive for each
     * single event.
     */
    private void requestTick() {
        if (!tickQueued) {
            tickQueued = true;
            long due = tickedAt + MIN_TICK_GAP_MILLIS - context.loop.clock().millis();
            context.loop.after(Math.max(0, due), this::tick);
        }
    }

    private void tick() {
        tickQueued = false;
        tickedAt = context.loop.clock().millis();
        if (!closed && scheduler != null) {
            // The instance of a worker that an earlier owner reported as empty may be moved or restarted at any
            // moment, so nothing is placed before the evacuation requests are read. Nothing is started either while
            // an acknowledged cancellation may be unknown here: right after an outage of the store, the list of
            // workers may be current while the list of jobs is not.
            if (evacuations.isRead()) {
                scheduler.onWorkersConfirmed(Math.min(workers.confirmedAt(), inputs.confirmedAt()));
            }
            scheduler.onCordons(context.cordons.get());
            context.configuration.get().ifPresent(scheduler::onConfiguration);
            scheduler.onColdStartsPerSecond(context.coldStartsPerSecond.applyAsDouble(service));
            scheduler.onMaxTasks(context.maxTasks.getAsInt());
            scheduler.tick();
            context.advice.queue().run();
            quotas.run();
            endHandOver();
        }
    }

    /** Stops starting tasks; the future completes when all state that only this owner knows is durable. */
    CompletableFuture<Void> handOver() {
        if (handedOver == null) {
            handedOver = new CompletableFuture<>();
            if (scheduler == null) {
                handedOver.complete(null);
            } else {
                scheduler.handOver();
                tick();
            }
        }
        return handedOver;
    }

    private void endHandOver() {
        if (handedOver != null && scheduler != null && scheduler.isFullySaved()) {
            handedOver.complete(null);
        }
    }

    private void notifyScheduler(Consumer<ServiceScheduler> event) {
        if (!closed && scheduler != null) {
            event.accept(scheduler);
            requestTick();
        }
    }

    @Override
    public void start(StartOrder order) {
        context.orders
                .start(order)
                .exceptionally(why -> StartResult.withoutClock(unreadable("start", order.worker(), why)))
                .thenAcceptAsync(
                        r -> notifyScheduler(s -> s.onStarted(order, r.outcome(), r.clockMillis())),
                        context.loop::execute);
    }

    @Override
    public void stop(StopOrder order) {
        context.orders
                .stop(order)
                .exceptionally(why -> unreadable("stop", order.worker(), why))
                .thenAcceptAsync(o -> notifyScheduler(s -> s.onStopped(order, o)), context.loop::execute);
    }

    @Override
    public void hold(HoldOrder order) {
        long sentAt = context.loop.clock().millis();
        context.orders
                .hold(order)
                .exceptionally(why -> new HoldResult(unreadable("hold", order.worker(), why), null))
                .thenAcceptAsync(
                        r -> notifyScheduler(s -> {
                            context.meters.holdAnswered(r.outcome());
                            if (r.answer() == null) {
                                s.onHoldFailed(order, r.outcome());
                            } else {
                                s.onHoldAnswered(order, sentAt, r.answer());
                            }
                        }),
                        context.loop::execute);
    }

    /** Treats an unreadable answer as no answer; without an outcome the order would stay in flight for ever. */
    private static OrderOutcome unreadable(String order, WorkerFacts worker, Throwable why) {
        Log.warn("order-unreadable", "order", order, "worker", worker.id(), "why", why);
        return OrderOutcome.UNKNOWN;
    }

    @Override
    public void pace(PaceOrder order) {
        context.orders
                .pace(order)
                .exceptionally(why -> unreadable("pace", order.worker(), why))
                .thenAcceptAsync(o -> notifyScheduler(s -> s.onPaced(order, o)), context.loop::execute);
    }

    @Override
    public void requestAdviceTurn() {
        context.advice.queue().requestTurn(this);
    }

    @Override
    public Optional<AdviceRequest> nextAdviceRequest() {
        ServiceScheduler s = scheduler;
        return closed || s == null ? Optional.empty() : s.nextAdviceRequest();
    }

    @Override
    public void onAdvice(AdviceRequest request, @Nullable AdviceResponse response) {
        notifyScheduler(s -> s.onAdvice(request, response));
    }

    @Override
    public void save(List<ProgressWrite> batch) {
        Map<String, String> values = new LinkedHashMap<>();
        Map<String, String> reduced = new LinkedHashMap<>();
        for (ProgressWrite s : batch) {
            values.put(SchedulerKeys.progress(service, s.job()), RecordCodec.write(s.progress()));
            if (s.progress().finished()) {
                reduced.put(SchedulerKeys.job(service, s.job()), JobSpec.FINISHED_MARKER);
            }
        }
        records.write(values, reduced, outcome -> saved(batch, outcome));
    }

    private void saved(List<ProgressWrite> batch, FencedRecordWriter.Outcome outcome) {
        ServiceScheduler s = scheduler;
        if (s == null || superseded) {
            return;
        }
        switch (outcome) {
            case SAVED -> s.onSaved(batch);
            case OVERTAKEN -> s.onSaveFailed(batch, 0);
            case RETRY -> s.onSaveFailed(batch, RETRY_MILLIS);
            case REJECTED -> {
                Log.warn(
                        "progress-rejected",
                        "service",
                        service,
                        "records",
                        batch.stream().map(ProgressWrite::job).toList());
                s.onSaveRejected(batch);
            }
            case NOT_OWNER -> {
                superseded = true;
                ownershipLost("the store rejected a write: this entry no longer owns the service");
            }
        }
        if (!closed) {
            requestTick();
        }
    }

    /**
     * Continues after the end of ownership to write results received before it, for as long as the store accepts
     * them.
     */
    private void writeRemaining() {
        ServiceScheduler s = scheduler;
        if (s == null || superseded || s.isFullySaved()) {
            return;
        }
        if (context.loop.clock().millis() - closedAt > FINAL_WRITE_MILLIS) {
            Log.warn("progress-left-unwritten", "service", service, "fence", fence);
            return;
        }
        s.flush();
        context.loop.after(TICK_MILLIS, this::writeRemaining);
    }

    @Override
    public long lowestFence() {
        return fence;
    }

    @Override
    public long highestFence() {
        return records.ownedRevision();
    }

    @Override
    public void emptied(String worker) {
        evacuations.answerEmpty(worker);
    }

    @Override
    public void ownershipLost(String evidence) {
        if (!closed) {
            Log.warn("ownership-lost", "service", service, "fence", fence, "evidence", evidence);
            context.loop.execute(onOwnershipLost);
        }
    }

    @Override
    public void note(SchedulerEvent e) {
        context.meters.decided(e);
        DecisionLog.write(service, fence, e);
    }

    /** Reports a growing demand for workers at once, and other changes with a short delay. */
    private void writeReport() {
        if (scheduler == null) {
            return;
        }
        long now = context.loop.clock().millis();
        ServiceReport report = scheduler.report();
        boolean grown = reported == null || report.needed() > reported.needed();
        if (reporting || report.equals(reported) || (!grown && now - reportedAt < REPORT_MILLIS)) {
            return;
        }
        reportedAt = now;
        // Only one report is written at a time, since with a slow store the next write would conflict with the
        // revision of the previous one.
        reporting = true;
        records.write(Map.of(SchedulerKeys.report(service), RecordCodec.write(report)), outcome -> {
            reporting = false;
            reported = outcome == FencedRecordWriter.Outcome.SAVED ? report : null;
        });
    }

    private void logLoad() {
        if (scheduler != null) {
            scheduler.reviewWaits();
            DecisionLog.writeLoad(service, fence, scheduler.load());
        }
    }

    private void removeExpired() {
        if (scheduler != null) {
            recovered.removeExpired(scheduler.forgetEnded(RecoveredJobs.RETENTION_MILLIS));
        }
    }

    @Override
    public void close() {
        closed = true;
        closedAt = context.loop.clock().millis();
        inputs.close();
        evacuations.close();
        quotas.close();
        context.advice.queue().withdraw(this);
        boolean written = scheduler == null || scheduler.isFullySaved();
        Log.info("scheduler-stopped", "service", service, "fence", fence, "all-written", written);
        if (handedOver != null) {
            handedOver.complete(null);
        }
        writeRemaining();
    }
}
