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

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/**
 * Runs histories from the command line. Exit codes: 0 no violation, 1 at least one violation, 2 invalid arguments. Set
 * {@code -Dtinylog.level=info} to see the log of the entries for a single seed.
 */
@Command(name = "lupinpaddle-model", description = "Runs seeded histories on virtual time and checks the rules")
public final class ModelMain {

    private static final int EXIT_OK = 0;
    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final double MILLIS_PER_MINUTE = 60_000;

    @Option(name = "--seed", title = "N", description = "The first seed (default 1)")
    private long seed = 1;

    @Option(name = "--count", title = "N", description = "How many seeds, counted up (default 1)")
    private long count = 1;

    @Option(name = "--faults", title = "N", description = "At most so many faults a history (default 4)")
    private int faults = 4;

    @Option(name = "--crashing", description = "Some tasks crash each worker that starts them")
    private boolean crashing;

    @Option(name = "--restarts", description = "Some workers crash and start again under their ids")
    private boolean restarts;

    @Option(name = "--recuts", description = "Some workers start again under their ids and are cut off soon after")
    private boolean recuts;

    @Option(name = "--workspaces", description = "Callers belong to workspaces with keys and quotas, which change")
    private boolean workspaces;

    @Option(name = "--late-holds", description = "Workers that execute orders late do so with holds as well")
    private boolean lateHolds;

    @Option(name = "--late-first-starts", description = "With --restarts: a worker's first order may be a late start")
    private boolean lateFirstStarts;

    @Option(name = "--early-cancels", description = "Callers cancel jobs whose submission is under way")
    private boolean earlyCancels;

    @Option(name = "--cordons", description = "Operators cordon data halls and lift the cordons")
    private boolean cordons;

    @Option(name = "--cold-halls", description = "Halls lose all workers, which return cold under new ids")
    private boolean coldHalls;

    @Option(name = "--held-orders", description = "Partitions hold up orders for instances and deliver them later")
    private boolean heldOrders;

    @Option(name = "--reroutes", description = "Queues get other services, and accepted jobs are submitted again")
    private boolean reroutes;

    @Option(name = "--advice", description = "A queue requires advice, has a peak of jobs, and its service has faults")
    private boolean advice;

    @Option(name = "--refusals", description = "With --advice: workers are refused for long-running steps too")
    private boolean refusals;

    @Option(name = "--advice-changes", description = "A queue requires advice from some configuration on, or no more")
    private boolean adviceChanges;

    @Option(name = "--owner-chains", description = "Workers are lost right after a start, and their owners in a row")
    private boolean ownerChains;

    @Option(name = "--long-running-check", description = "Checks at any time that long-running tasks have runs")
    private boolean longRunningCheck;

    @Option(name = "--store-outages", description = "The store is away, slow or loses answers while short tasks end")
    private boolean storeOutages;

    @Option(name = "--racks", description = "Some steps prefer one rack, with one task a worker")
    private boolean racks;

    /** Runs the histories that the arguments select. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        try {
            return SingleCommand.singleCommand(ModelMain.class).parse(args).execute();
        } catch (ParseException e) {
            System.err.println("lupinpaddle-model: " + e.getMessage());
            return EXIT_USAGE;
        }
    }

    private int execute() {
        long startNanos = System.nanoTime();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger givenUp = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicLong latestStart = new AtomicLong();
        LongStream.range(seed, seed + count).parallel().forEach(s -> {
            World w = world(s);
            if (!runHistory(s, w)) {
                broken.incrementAndGet();
            }
            givenUp.addAndGet(w.completableJobsGivenUp());
            lost.addAndGet(w.workersLostToTasks());
            w.cordons().ifPresent(c -> latestStart.accumulateAndGet(c.latestStartMillis(), Math::max));
        });
        double minutes = (System.nanoTime() - startNanos) / 1e6 / MILLIS_PER_MINUTE;
        System.out.printf(
                "histories=%d broken=%d completable-jobs-given-up=%d workers-lost-to-tasks=%d per-minute=%.0f%n",
                count, broken.get(), givenUp.get(), lost.get(), count / minutes);
        if (cordons) {
            System.out.println("latest-start-in-cordoned-hall-millis=" + latestStart.get());
        }
        return broken.get() == 0 ? EXIT_OK : EXIT_VIOLATION;
    }

    private World world(long s) {
        World w = new World(s, faults);
        if (crashing) {
            w.withCrashingTasks(s);
        }
        if (restarts) {
            w.withRestarts(s);
        }
        if (recuts) {
            w.withRestartCuts(s);
        }
        if (lateHolds) {
            w.withLateHolds(s);
        }
        if (lateFirstStarts) {
            w.withLateFirstStarts();
        }
        if (earlyCancels) {
            w.withEarlyCancellations(s);
        }
        if (cordons) {
            w.withCordons(s);
        }
        if (heldOrders) {
            w.withHeldOrders(s);
        }
        if (coldHalls) {
            w.withColdHalls(s);
        }
        if (workspaces) {
            w.withWorkspaces(s);
        }
        if (reroutes) {
            w.withReroutes(s);
        }
        if (advice) {
            w.withAdvice(s, refusals);
        }
        if (adviceChanges) {
            w.withAdviceChanges(s);
        }
        if (ownerChains) {
            w.withOwnerChains(s);
        } else if (longRunningCheck) {
            w.withLongRunningCheck();
        }
        if (storeOutages) {
            w.withStoreOutages(s);
        }
        if (racks) {
            w.withRackPreferences(s);
        }
        return w;
    }

    private boolean runHistory(long s, World w) {
        try {
            w.run();
            return true;
        } catch (RuleViolationException e) {
            report(s, w, String.valueOf(e.getMessage()));
        } catch (RuntimeException e) {
            report(s, w, e.toString());
            e.printStackTrace();
        }
        return false;
    }

    private void report(long s, World w, String message) {
        synchronized (System.out) {
            System.out.println("seed=" + s + " broken: " + message);
            if (count == 1) {
                w.history().forEach(System.out::println);
            }
        }
    }
}
