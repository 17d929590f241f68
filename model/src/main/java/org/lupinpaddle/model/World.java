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
package org.lupinpaddle.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.RecordCodec;
import org.lupinpaddle.core.job.Policy;
import org.lupinpaddle.core.job.Repeat;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.job.StepSpec;
import org.lupinpaddle.core.job.Submission;
import org.lupinpaddle.core.job.TaskId;
import org.lupinpaddle.core.queue.JobConfiguration;
import org.lupinpaddle.core.queue.QueueConfig;
import org.lupinpaddle.core.queue.ServiceConfig;
import org.lupinpaddle.core.upkeep.UpkeepWave;
import org.lupinpaddle.core.workspace.Workspaces;
import org.lupinpaddle.daemon.port.StoreItem;

/** One simulated history: a platform with its workers, entries and callers, driven by a seed. */
public final class World {

    static final long NEVER = Long.MAX_VALUE / 2;
    static final long EPOCH = 1_700_000_000_000L;
    static final long DRAIN_MILLIS = 2_000;
    static final long LEASE_MILLIS = 3_000;
    static final long UPKEEP_MILLIS = 2_000;
    static final long MOVE_MILLIS = 1_500;
    static final String SPARE_POOL = "spare";
    static final String OPERATORS = "model/operator/";
    static final String CONFIGURATION = OPERATORS + "configuration";
    static final String CORDONS = OPERATORS + "cordon/";
    static final String WORKERS = "model/worker/";
    static final String WAVES = "model/wave/";
    static final String WAVE_STATUS = "model/wave-status/";
    static final String COMPLETED = "completed";

    private static final int JOBS = 16;
    private static final int MAX_ATTEMPTS = 3;
    private static final long RACK_PREFERENCE_SEED = 0x7acc;
    private static final long EARLY_CANCELLATION_SEED = 0xca9c;
    private static final long TRAFFIC_START = 5_000;
    private static final long TRAFFIC_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 40_000;
    private static final long WAVE_AT = 7_000;
    private static final int MAX_WAVE_INSTANCES_DOWN = 2;
    private static final long MAX_NOT_SERVING_MILLIS = 6_000;

    final VirtualTime time = new VirtualTime();
    final Sabotage sabotage;
    final Site site;
    final Random random;
    final Network net;
    final SimStore store;
    final Rules rules;
    final SimFleet fleet;
    final List<SimEntry> entries = new ArrayList<>();
    private final FaultPlan faults;
    final History history = new History(time);
    private long configurationVersion;
    private @Nullable CrashingTasks crashingTasks;
    private @Nullable WorkerRestarts restarts;
    private @Nullable RestartCuts restartCuts;
    private @Nullable SimWorkspaces workspaces;
    private @Nullable LateHolds lateHolds;
    private boolean lateFirstStarts;
    private @Nullable Random earlyCancellations;
    private @Nullable SimCordons cordons;
    private @Nullable HeldOrders heldOrders;
    private @Nullable SimReroutes reroutes;
    private @Nullable SimAdvice advice;
    private @Nullable Random rackPreferences;
    private @Nullable OwnerChains ownerChains;
    private final LapseCheck lapseCheck;
    private final boolean hasFaults;

    /** Creates the world of a seed with at most the given number of faults. */
    public World(long seed, int maxFaults) {
        this(seed, maxFaults, Sabotage.NONE);
    }

    /** Creates the world of a seed with one production mechanism disabled. */
    World(long seed, int maxFaults, Sabotage sabotage) {
        this(seed, maxFaults, sabotage, Site.SMALL);
    }

    /** Creates the world of a seed at the given site, without random faults. */
    World(long seed, Site site) {
        this(seed, 0, Sabotage.NONE, site);
    }

    private World(long seed, int maxFaults, Sabotage sabotage, Site site) {
        this.sabotage = sabotage;
        this.site = site;
        random = new Random(seed);
        net = new Network(time, random);
        store = new SimStore(time);
        rules = new Rules(time);
        fleet = new SimFleet(time, store, rules, random, site.room(), this::crashingTasks, this::keepsId);
        hasFaults = maxFaults > 0;
        faults = new FaultPlan(this, history, maxFaults);
        lapseCheck = new LapseCheck(this);
        rules.checkLapsesBy(lapseCheck);
    }

    /** Adds a writer that puts malformed records into the store until the traffic ends. */
    World withCorruptRecords(long seed) {
        new CorruptRecordWriter(this, seed, TRAFFIC_START + TRAFFIC_MILLIS).start();
        return this;
    }

    /** Adds jobs with tasks that crash every worker that starts them. */
    World withCrashingTasks(long seed) {
        CrashingTasks tasks = new CrashingTasks(this, seed);
        crashingTasks = tasks;
        tasks.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Adds workers that crash and restart under their ids. */
    World withRestarts(long seed) {
        WorkerRestarts r = new WorkerRestarts(this, seed);
        restarts = r;
        r.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Adds workers that restart under their ids with arbitrary clocks and become unreachable soon after. */
    World withRestartCuts(long seed) {
        RestartCuts r = new RestartCuts(this, seed);
        restartCuts = r;
        r.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Returns the workers that are cut off after a restart, if this history has any. */
    Optional<RestartCuts> restartCuts() {
        return Optional.ofNullable(restartCuts);
    }

    /** Lets workers that execute orders late do so with holds as well. */
    World withLateHolds(long seed) {
        lateHolds = new LateHolds(net, seed);
        return this;
    }

    /** Returns which holds are executed late, if any are in this history. */
    Optional<LateHolds> lateHolds() {
        return Optional.ofNullable(lateHolds);
    }

    /** Lets a worker that has restarted under its id execute a late start as its first order. */
    World withLateFirstStarts() {
        lateFirstStarts = true;
        return this;
    }

    boolean hasLateFirstStarts() {
        return lateFirstStarts;
    }

    /** Lets partitions hold up orders for instances, and adds faults around the orders of the fleet's owner. */
    World withHeldOrders(long seed) {
        HeldOrders h = new HeldOrders(this, seed);
        heldOrders = h;
        h.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Returns the network to the instance API, if partitions hold up orders in this history. */
    Optional<HeldOrders> heldOrders() {
        return Optional.ofNullable(heldOrders);
    }

    /**
     * Adds operators that cordon halls. In histories with faults, some cordons occur right beside further faults. All
     * cordons are lifted before the history ends.
     */
    World withCordons(long seed) {
        SimCordons c = new SimCordons(this, seed, hasFaults);
        cordons = c;
        rules.checkCordonsOf(c);
        c.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Returns the cordons, if this history has any. */
    Optional<SimCordons> cordons() {
        return Optional.ofNullable(cordons);
    }

    /** Adds halls whose workers are lost together and return cold under new ids. */
    World withColdHalls(long seed) {
        new HallOutages(this, seed).plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Adds workspaces whose keys and quotas change. */
    World withWorkspaces(long seed) {
        SimWorkspaces w = new SimWorkspaces(this, seed);
        workspaces = w;
        rules.checkQuotasOf(w);
        w.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Lets callers cancel their jobs while the submission is under way. */
    World withEarlyCancellations(long seed) {
        earlyCancellations = new Random(seed ^ EARLY_CANCELLATION_SEED);
        return this;
    }

    /** Returns which jobs are cancelled while they are being submitted, if any are in this history. */
    Optional<Random> earlyCancellations() {
        return Optional.ofNullable(earlyCancellations);
    }

    /** Adds configuration changes that give queues other services, and repeated submissions of accepted jobs. */
    World withReroutes(long seed) {
        SimReroutes r = new SimReroutes(this, seed);
        reroutes = r;
        rules.checkRoutesOf(r);
        r.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Makes a queue require advice, and gives it a peak of jobs. With faults, its service has one too. */
    World withAdvice(long seed) {
        return withAdvice(seed, false);
    }

    /** As {@link #withAdvice(long)}; the service may also refuse workers for long-running steps. */
    World withAdvice(long seed, boolean refusesForLongRunning) {
        SimAdvice a = new SimAdvice(this, seed, refusesForLongRunning);
        advice = a;
        a.plan(TRAFFIC_START, TRAFFIC_MILLIS, hasFaults);
        return this;
    }

    /** As {@link #withAdvice(long)}, with configurations that add the requirement to the queue or remove it. */
    World withAdviceChanges(long seed) {
        withAdvice(seed).advice().ifPresent(a -> a.planChanges(TRAFFIC_START, TRAFFIC_MILLIS));
        return this;
    }

    /** Returns the advice service, if this history has one. */
    Optional<SimAdvice> advice() {
        return Optional.ofNullable(advice);
    }

    /** Lets some steps prefer a common rack although each worker may run only one of their tasks. */
    World withRackPreferences(long seed) {
        rackPreferences = new Random(seed ^ RACK_PREFERENCE_SEED);
        return this;
    }

    /**
     * Adds workers that are lost right after a start and changes of owner that follow, and checks at any time that
     * long-running tasks have runs.
     */
    World withOwnerChains(long seed) {
        OwnerChains c = new OwnerChains(this, seed);
        ownerChains = c;
        c.plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return withLongRunningCheck();
    }

    /** Returns the chains of owners, if this history has any. */
    Optional<OwnerChains> ownerChains() {
        return Optional.ofNullable(ownerChains);
    }

    /** Checks at any time that long-running tasks have runs while the world is calm and their service has room. */
    World withLongRunningCheck() {
        new LongRunningCheck(this).start();
        return this;
    }

    /**
     * Adds times in which the store is away, slow or loses answers, and short tasks that end beside long-running ones.
     */
    World withStoreOutages(long seed) {
        new StoreOutages(this, seed).plan(TRAFFIC_START, TRAFFIC_MILLIS);
        return this;
    }

    /** Returns the check of runs that lapse on workers that can be reached. */
    LapseCheck lapseCheck() {
        return lapseCheck;
    }

    private boolean prefersOneRack() {
        return rackPreferences != null && rackPreferences.nextBoolean();
    }

    /** Returns the changes of queues' services, if this history has any. */
    Optional<SimReroutes> reroutes() {
        return Optional.ofNullable(reroutes);
    }

    /** Returns the workspaces, if this history has any. */
    Optional<SimWorkspaces> workspaces() {
        return Optional.ofNullable(workspaces);
    }

    /** Returns how many jobs were reported as failed although they could have completed and do not crash workers. */
    int completableJobsGivenUp() {
        int n = 0;
        for (Rules.TrackedJob job : rules.jobs()) {
            boolean crashing = crashingTasks != null && crashingTasks.hasCrashingTasks(job.id);
            if (job.reportedFailed && !job.alwaysFails && !crashing && !job.hasUsedUpAttempts()) {
                n++;
            }
        }
        return n;
    }

    /** Returns the number of workers that crashing tasks have crashed. */
    int workersLostToTasks() {
        return crashingTasks == null ? 0 : crashingTasks.workersLost();
    }

    private boolean keepsId() {
        return restarts != null && restarts.keepsId();
    }

    /** Returns the crashing tasks, if this history has any. */
    Optional<CrashingTasks> crashingTasks() {
        return Optional.ofNullable(crashingTasks);
    }

    /**
     * Runs the whole history.
     *
     * @throws RuleViolationException at the first violated rule
     */
    public void run() {
        setUpScenario();
        time.runUntil(TRAFFIC_START + TRAFFIC_MILLIS + SETTLE_MILLIS);
        checkFinalState();
    }

    /** Runs the history up to the given time and skips the final checks. */
    void runUntil(long untilMillis) {
        setUpScenario();
        time.runUntil(untilMillis);
    }

    /** Runs a rotating load during which all entries lose power, and checks that service recovers. */
    void runPowerLoss(long powerLossAfterMillis) {
        createSite();
        PowerLossRecovery r = new PowerLossRecovery(this, TRAFFIC_START + powerLossAfterMillis);
        new RotatingLoad(this).plan(TRAFFIC_START, r.end());
        r.plan();
        time.runUntil(r.end());
        r.check();
    }

    /** Returns the owner of a duty according to the store, or an empty string if it has none. */
    String owner(String duty) {
        return store.read(SchedulerKeys.owner(duty)).map(StoreItem::value).orElse("");
    }

    /** Returns the fencing token of a duty's owner, or 0 if it has none. */
    long fence(String duty) {
        return store.read(SchedulerKeys.owner(duty)).map(StoreItem::revision).orElse(0L);
    }

    SimEntry entry(String name) {
        return entries.stream().filter(e -> e.name.equals(name)).findFirst().orElseThrow();
    }

    /** Returns the faults and caller actions so far, one per line. */
    public List<String> history() {
        return history.lines();
    }

    private void setUpScenario() {
        createSite();
        for (int i = 0; i < JOBS; i++) {
            long at = TRAFFIC_START + random.nextInt((int) TRAFFIC_MILLIS);
            SimCaller caller = new SimCaller(this, history, i);
            time.schedule(at, caller::submit);
        }
        time.schedule(WAVE_AT, this::requestWave);
        faults.plan(TRAFFIC_START, TRAFFIC_MILLIS);
    }

    private void createSite() {
        writeConfiguration();
        List<String> halls = site.halls();
        for (int i = 0; i < site.workers() + site.spares(); i++) {
            String hall = halls.get(i % halls.size());
            String pool = i < site.workers() ? service(i) : SPARE_POOL;
            fleet.add(hall, "rack-" + hall + "-" + i % site.racks(), pool);
        }
        fleet.startListUpdates();
        for (EntryKind kind : site.entryKinds()) {
            for (int i = 0; i < kind.count(); i++) {
                int n = entries.size();
                entries.add(new SimEntry(this, "entry-" + n, halls.get(n % halls.size()), kind));
            }
        }
        entries.forEach(e -> time.schedule(random.nextInt(300), e::start));
        lapseCheck.start();
    }

    /** Writes the configuration with a new version; the names of its queues and services stay the same. */
    void writeConfiguration() {
        configurationVersion++;
        List<QueueConfig> queues = new ArrayList<>();
        for (String s : site.services()) {
            boolean advised =
                    advice().filter(a -> a.queue().equals(s) && a.isRequired()).isPresent();
            Policy policy = new Policy(queues.size(), MAX_ATTEMPTS, 1.5, 500, advised);
            String service = reroutes().map(r -> r.configuredService(s)).orElse(s);
            queues.add(new QueueConfig("q-" + s, "host", "/" + s + "/", service, policy, workspaces != null));
        }
        List<ServiceConfig> services = new ArrayList<>();
        site.services().forEach(s -> services.add(new ServiceConfig(s, false, true)));
        services.add(new ServiceConfig(SPARE_POOL, true, true));
        Workspaces configured = workspaces().map(SimWorkspaces::configured).orElse(Workspaces.NONE);
        store.set(
                CONFIGURATION,
                RecordCodec.write(new JobConfiguration(configurationVersion, queues, services, 1 << 18, configured)));
    }

    private void requestWave() {
        List<String> instances =
                fleet.instanceIds().stream().filter(m -> random.nextInt(3) == 0).toList();
        if (!instances.isEmpty()) {
            history.add("wave of " + instances);
            fleet.requestWave(new UpkeepWave(1, instances, 20_000, MAX_WAVE_INSTANCES_DOWN));
        }
    }

    /** Returns a random job; its text says whether it always fails. */
    Submission submission(int number) {
        boolean longRunning = isLongRunning(number);
        StepSpec.Need need = new StepSpec.Need(500 + random.nextInt(2_000), 200, 0);
        List<StepSpec> steps = new ArrayList<>();
        boolean oneRack = prefersOneRack();
        if (longRunning) {
            int perWorker = 1 + random.nextInt(2);
            steps.add(StepSpec.builder(3, need)
                    .longRunning(true, 1)
                    .gang(false, oneRack)
                    .perWorkerMost(oneRack ? 1 : perWorker)
                    .build());
        } else {
            int count = 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
                steps.add(StepSpec.builder(1 + random.nextInt(5), need)
                        .estimateMillis(500)
                        .after(after)
                        .gang(false, oneRack)
                        .perWorkerMost(oneRack ? 1 : 0)
                        .checkpointing(random.nextBoolean())
                        .build());
            }
        }
        boolean alwaysFails = !longRunning && random.nextInt(12) == 0;
        return new Submission((alwaysFails ? "hopeless " : "job ") + number, steps, Repeat.ONCE);
    }

    /** Returns whether a caller's job has long-running tasks. */
    boolean isLongRunning(int caller) {
        return caller < JOBS && caller % 6 == 0;
    }

    Submission singleStepJob(int number, StepSpec step) {
        return new Submission("job " + number, List.of(step), Repeat.ONCE);
    }

    String service(int number) {
        return site.services().get(number % site.services().size());
    }

    int maxAttempts() {
        return MAX_ATTEMPTS;
    }

    static boolean alwaysFails(Rules rules, String jobId) {
        Rules.TrackedJob job = rules.job(jobId);
        return job != null && job.alwaysFails;
    }

    static @Nullable StepSpec step(Rules rules, String jobId, TaskId task) {
        Rules.TrackedJob job = rules.job(jobId);
        return job == null ? null : job.step(task);
    }

    /** Returns how long a task takes on a healthy worker: between 300 and 2,300 ms, and the same on each run. */
    static long taskMillis(Rules rules, String jobId, TaskId task) {
        return 300 + Math.floorMod((jobId + task).hashCode(), 2_000);
    }

    private void checkFinalState() {
        for (Rules.TrackedJob job : rules.jobs()) {
            if (!job.accepted || job.cancelSent || job.alwaysFails || mayBeGivenUp(job)) {
                continue;
            }
            if (job.isLongRunning()) {
                checkLongRunning(job);
            } else {
                rules.require(
                        Rules.Rule.LOST,
                        job.allDone() || isBlockedByQuota(job),
                        job.id + " was accepted and is not done: " + unfinished(job));
            }
        }
        boolean requested = store.read(WAVES + 1).isPresent();
        if (requested) {
            boolean reportedDone = store.read(WAVE_STATUS + 1)
                    .filter(i -> i.value().equals(COMPLETED))
                    .isPresent();
            List<String> remaining = fleet.notMaintained(1);
            rules.require(
                    Rules.Rule.WAVE,
                    remaining.stream().filter(this::isBlockedByCrashedTask).count()
                            >= Math.min(MAX_WAVE_INSTANCES_DOWN, remaining.size()),
                    "the wave has not been done, and what is held up leaves places for " + remaining);
            rules.require(Rules.Rule.WAVE, reportedDone || !remaining.isEmpty(), "the wave is done and not said to be");
        }
    }

    /**
     * Returns whether a job need not complete, because one of its tasks crashes workers or because it was given up
     * after two workers crashed under one task.
     */
    private boolean mayBeGivenUp(Rules.TrackedJob job) {
        boolean crashing = crashingTasks != null && crashingTasks.hasCrashingTasks(job.id);
        return crashing || (job.reportedFailed && job.maxWorkerCrashes() >= Rules.MIN_CRASHES_TO_GIVE_UP);
    }

    /** Returns whether long-running tasks leave too little of the workspace's quota for the job's next tasks. */
    private boolean isBlockedByQuota(Rules.TrackedJob job) {
        if (workspaces == null || !workspaces.limits(job.workspace)) {
            return false;
        }
        long longRunningCpu = rules.runningCpu(job.workspace, Rules.TrackedJob::isLongRunning);
        return longRunningCpu + job.nextStep().need().cpuMillis() > workspaces.configuredCpu(job.workspace);
    }

    /**
     * Returns whether the instance runs a task of a long-running job that has lost workers to crashes. Such a step may
     * already miss as many tasks as its caller allows, and stopping another one would violate AVAIL.
     */
    private boolean isBlockedByCrashedTask(String instance) {
        return fleet.tasksOn(instance).stream().anyMatch(r -> {
            Rules.TrackedJob job = rules.job(r.jobId());
            return job != null && job.isLongRunning() && job.maxWorkerCrashes() >= Rules.MIN_CRASHES_TO_GIVE_UP;
        });
    }

    private void checkLongRunning(Rules.TrackedJob job) {
        for (int i = 0; i < job.submission.steps().get(0).count(); i++) {
            Rules.TrackedTask task = job.task(new TaskId(0, 0, i));
            boolean givenUp = task.workerCrashes >= Rules.MIN_CRASHES_TO_GIVE_UP;
            boolean satisfied = givenUp
                    || task.serving
                    || (task.runsOn != null && time.now() - task.notServingSince < MAX_NOT_SERVING_MILLIS);
            rules.require(Rules.Rule.LOST, satisfied, job.id + " task " + i + " lasts and is not at work");
        }
    }

    private static String unfinished(Rules.TrackedJob job) {
        List<String> remaining = new ArrayList<>();
        job.tasks.forEach((id, task) -> {
            if (!task.done) {
                remaining.add(id + (task.runsOn == null ? "" : " on " + task.runsOn.id()));
            }
        });
        return remaining.toString();
    }
}
