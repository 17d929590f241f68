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

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.command.CommandParser;
import org.lupinpaddle.core.command.OperatorCommand;
import org.lupinpaddle.core.common.Unreadable;
import org.lupinpaddle.core.job.JobKey;
import org.lupinpaddle.core.job.JobProgress;
import org.lupinpaddle.core.job.JobSpec;
import org.lupinpaddle.core.job.SchedulerKeys;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.upkeep.UpkeepRecord;
import org.lupinpaddle.core.upkeep.UpkeepWave;
import org.lupinpaddle.daemon.operator.CommandExecutor;
import org.lupinpaddle.daemon.operator.CommandResult;
import org.lupinpaddle.daemon.port.KeyValueStore;
import org.lupinpaddle.daemon.port.PlatformRecords;
import org.lupinpaddle.daemon.port.StoreItem;
import org.lupinpaddle.daemon.port.StoreRange;

/** Answers operators' questions about jobs from the store, so every entry gives the same answer. */
public final class JobCommandExecutor implements CommandExecutor {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final KeyValueStore store;
    private final PlatformRecords records;
    private final JobIntake intake;
    private final UnreadableEntriesQuery unreadable;

    /**
     * Creates an executor.
     *
     * @param cordons reads the cordons; empty if the deployment has none
     */
    JobCommandExecutor(
            KeyValueStore store, PlatformRecords records, JobIntake intake, Optional<CordonRecords> cordons) {
        this.store = store;
        this.records = records;
        this.intake = intake;
        unreadable = new UnreadableEntriesQuery(store, records, cordons);
    }

    @Override
    public void run(String words, String operator, Consumer<CommandResult> onResult) {
        Either<String, OperatorCommand> command = CommandParser.parse(CommandParser.split(words));
        if (command.isLeft()) {
            onResult.accept(CommandResult.refused(command.getLeft()));
            return;
        }
        answer(command.get())
                .exceptionally(why -> List.of("the store can not be reached: " + StoreFailure.text(why)))
                .thenAccept(lines -> onResult.accept(
                        new CommandResult(CommandResult.ANSWERED, 0, lines, MAPPER.valueToTree(lines))));
    }

    private CompletableFuture<List<String>> answer(OperatorCommand command) {
        if (command instanceof OperatorCommand.JobList) {
            return allJobs().thenCombine(unreadable.ofJobs(), JobCommandExecutor::formatJobs);
        } else if (command instanceof OperatorCommand.JobExplain q) {
            return explain(q.id());
        } else if (command instanceof OperatorCommand.JobOwners) {
            return store.range(SchedulerKeys.MEMBERS).thenApply(JobCommandExecutor::owners);
        } else if (command instanceof OperatorCommand.JobWorkers) {
            return store.range(records.workerPrefix()).thenApply(this::workers);
        } else if (command instanceof OperatorCommand.JobUpkeep) {
            return store.range(records.wavePrefix()).thenCombine(store.range(SchedulerKeys.fleet()), this::upkeep);
        }
        if (command instanceof OperatorCommand.JobUnreadable) {
            return unreadable.all().thenApply(l -> l.isEmpty() ? List.of("all entries can be read") : l);
        }
        return CompletableFuture.completedFuture(
                List.of("this entry runs jobs on the operators' platform; it answers the group job"));
    }

    /** A job as stored; it has no spec once it is finished. */
    private record StoredJob(
            JobKey key, String service, @Nullable JobSpec spec, JobProgress progress, boolean cancelled) {}

    /**
     * Reads all jobs. Progress is read last: a job whose record marks it as finished has progress by then, or has
     * been removed.
     */
    private CompletableFuture<List<StoredJob>> allJobs() {
        return store.range(SchedulerKeys.allInputs())
                .thenCompose(inputs -> store.range(SchedulerKeys.allProgress()).thenApply(progress -> {
                    Map<String, StoreItem> byKey = new TreeMap<>();
                    inputs.items().forEach(i -> byKey.put(i.key(), i));
                    progress.items().forEach(i -> byKey.put(i.key(), i));
                    List<StoredJob> all = new ArrayList<>();
                    inputs.items().forEach(i -> toStoredJob(i, byKey).ifPresent(all::add));
                    return all;
                }));
    }

    private static Optional<StoredJob> toStoredJob(StoreItem i, Map<String, StoreItem> byKey) {
        String service = SchedulerKeys.serviceOfInput(i.key());
        JobKey key = SchedulerKeys.jobOf(service, i.key()).orElse(null);
        if (key == null) {
            return Optional.empty();
        }
        JobSpec spec = i.read(JobSpec.class).getOrNull();
        JobProgress progress = Optional.ofNullable(byKey.get(SchedulerKeys.progress(service, key)))
                .flatMap(p -> p.read(JobProgress.class).toJavaOptional())
                .orElse(spec == null ? null : JobProgress.none(spec.acceptedMillis()));
        boolean readable = spec != null || i.value().equals(JobSpec.FINISHED_MARKER);
        if (progress == null || !readable) {
            return Optional.empty();
        }
        return Optional.of(
                new StoredJob(key, service, spec, progress, byKey.containsKey(SchedulerKeys.cancel(service, key))));
    }

    private static List<String> formatJobs(List<StoredJob> all, List<String> unreadable) {
        List<String> lines = new ArrayList<>(unreadable);
        for (StoredJob k : all) {
            lines.add(k.key.id() + "  " + k.progress.state() + "  queue " + k.key.queue() + "  service " + k.service
                    + (k.cancelled ? "  cancelled by its caller" : ""));
        }
        return lines.isEmpty() ? List.of("no jobs") : lines;
    }

    private CompletableFuture<List<String>> explain(String id) {
        return allJobs().thenCombine(store.range(SchedulerKeys.MEMBERS), (all, members) -> {
            List<String> lines = new ArrayList<>();
            all.stream()
                    .filter(k -> k.key.id().equals(id))
                    .forEach(k -> lines.addAll(explainJob(k, ownerOf(k.service, members))));
            return lines.isEmpty() ? List.of("no such job: never accepted, or over for more than two minutes") : lines;
        });
    }

    private List<String> explainJob(StoredJob k, String owner) {
        long now = intake.wallMillis();
        return k.spec == null
                ? JobExplanation.ofFinished(k.key, k.service, k.progress, k.cancelled, now)
                : JobExplanation.of(k.spec, k.progress, k.cancelled, owner, now);
    }

    private static String ownerOf(String service, StoreRange members) {
        return members.items().stream()
                .filter(i -> i.key().equals(SchedulerKeys.owner(service)))
                .map(StoreItem::value)
                .findFirst()
                .orElse("");
    }

    private static List<String> owners(StoreRange members) {
        List<String> lines = new ArrayList<>();
        for (StoreItem i : members.items()) {
            SchedulerKeys.entryOf(i.key()).ifPresent(e -> lines.add("entry " + e));
            SchedulerKeys.dutyOf(i.key())
                    .ifPresent(d -> lines.add("duty " + d + "  owned by " + i.value() + "  fence " + i.revision()));
        }
        return lines.isEmpty() ? List.of("no entry is registered") : lines;
    }

    private List<String> workers(StoreRange listed) {
        List<String> lines = new ArrayList<>();
        for (StoreItem i : listed.items()) {
            Either<Unreadable, WorkerFacts> w = records.worker(i);
            lines.add(w.fold(
                    why -> i.key() + "  unreadable: " + why,
                    f -> f.service() + "  " + f.id() + "  " + f.address() + "  hall " + f.hall() + "  "
                            + (f.draining() ? "draining, " + f.remainingMillis() + " ms left" : "ready") + "  "
                            + f.labels()));
        }
        lines.sort(String::compareTo);
        return lines.isEmpty() ? List.of("no workers") : lines;
    }

    private List<String> upkeep(StoreRange waves, StoreRange fleet) {
        Map<Long, UpkeepRecord> done = new TreeMap<>();
        fleet.items()
                .forEach(i -> SchedulerKeys.upkeepOf(i.key())
                        .ifPresent(w -> i.read(UpkeepRecord.class).forEach(r -> done.put(w, r))));
        List<String> lines = new ArrayList<>();
        for (StoreItem i : waves.items()) {
            Either<Unreadable, UpkeepWave> wave = records.wave(i);
            wave.peekLeft(why -> lines.add(i.key() + "  unreadable: " + why));
            wave.forEach(w -> {
                UpkeepRecord r = done.getOrDefault(w.number(), new UpkeepRecord(List.of(), false, null));
                lines.add("wave " + w.number() + "  " + (r.completed() ? "completed" : "running") + "  begun "
                        + r.begun().size() + " of " + w.instances().size() + ", at most " + w.maxDown() + " at once");
            });
        }
        return lines.isEmpty() ? List.of("no waves") : lines;
    }
}
