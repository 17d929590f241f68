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
package org.lupinpaddle.daemon.operator;

import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.command.OperatorCommand;
import org.lupinpaddle.core.command.OperatorCommand.Question;
import org.lupinpaddle.core.instance.InstanceRecord;
import org.lupinpaddle.core.instance.InstanceState;
import org.lupinpaddle.core.pool.PoolRecord;
import org.lupinpaddle.core.service.MemberReconciler;
import org.lupinpaddle.core.service.Permit;
import org.lupinpaddle.core.service.ServiceRecord;
import org.lupinpaddle.core.view.FleetView;
import org.lupinpaddle.core.wave.WavePlan;
import org.lupinpaddle.core.wave.WavePlanner;
import org.lupinpaddle.core.wave.WaveRecord;
import org.lupinpaddle.core.wave.WaveTarget;
import org.lupinpaddle.daemon.membership.PeerState;

/** Answers operators' questions from the state of this entry, without changes or calls to other components. */
public final class QuestionAnswerer {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NANOS_PER_MICRO = 1_000;

    private final EntryContext context;

    /** Creates the answerer. */
    public QuestionAnswerer(EntryContext context) {
        this.context = context;
    }

    /** Returns the answer to a question. */
    public CommandResult answer(Question question) {
        if (question instanceof OperatorCommand.Status) {
            return status();
        } else if (question instanceof OperatorCommand.Entries) {
            return entries();
        } else if (question instanceof OperatorCommand.Metrics) {
            return metrics();
        } else if (question instanceof OperatorCommand.Trace q) {
            return trace(q.requestId());
        } else if (question instanceof OperatorCommand.ServiceList) {
            return services();
        } else if (question instanceof OperatorCommand.PoolList) {
            return pools();
        } else if (question instanceof OperatorCommand.InstanceList q) {
            return instances(q.pool());
        } else if (question instanceof OperatorCommand.InstanceExplain q) {
            return explain(q.id());
        } else if (question instanceof OperatorCommand.WavePlan q) {
            return plan(WavePlanner.plan(view(), q.draft()));
        } else if (question instanceof OperatorCommand.WaveList) {
            return waves();
        } else if (question instanceof OperatorCommand.WaveShow q) {
            return wave(q.name());
        }
        return CommandResult.refused("this entry does not answer that: it may run no jobs, or the tool may be newer");
    }

    private FleetView view() {
        return context.config().view();
    }

    private CommandResult result(List<String> lines, Object data) {
        JsonNode node = MAPPER.valueToTree(data);
        return new CommandResult(CommandResult.ANSWERED, view().revision(), lines, node);
    }

    private CommandResult status() {
        FleetView v = view();
        List<String> lines = new ArrayList<>();
        lines.add("entry " + context.entry().id() + " in hall "
                + context.entry().hall() + ", region " + context.entry().region());
        lines.add("configuration at revision " + v.contentRevision() + " (store at " + v.revision() + "), platform "
                + (context.config().platformOk() ? "answers" : "does not answer")
                + (context.config().isWatching() ? ", this entry watches for its hall" : ""));
        lines.add(v.services().size() + " services, " + v.pools().size() + " pools, "
                + v.instances().size() + " instances, " + v.waves().size() + " waves");
        lines.add("reachable entries: " + context.membership().reachable().size() + " of "
                + context.membership().peers().size());
        lines.add("owned here: " + context.slots().grantsInUse() + " slots in use, "
                + context.slots().queueLength() + " requests wait, ejected workers "
                + context.slots().ejected());
        return result(lines, lines);
    }

    private CommandResult entries() {
        List<PeerState> peers = List.copyOf(context.membership().peers());
        List<String> lines = new ArrayList<>();
        lines.add(context.entry().id() + "  hall " + context.entry().hall() + "  this entry  revision "
                + view().contentRevision());
        for (PeerState p : peers) {
            lines.add(p.id() + "  hall " + p.hall() + "  "
                    + (context.membership().isReachable(p) ? "reachable" : "not heard") + "  "
                    + (p.registered() ? "registered" : "not registered") + "  revision " + p.revision()
                    + (p.platformOk() ? "" : "  without the platform"));
        }
        return result(lines, peers);
    }

    private CommandResult metrics() {
        Map<String, Object> all = new TreeMap<>();
        context.metrics().getCounters().forEach((k, c) -> all.put(k, c.getCount()));
        context.metrics().getGauges().forEach((k, g) -> all.put(k, g.getValue()));
        context.metrics().getHistograms().forEach((k, h) -> {
            Snapshot s = h.getSnapshot();
            all.put(k + ".count", h.getCount());
            all.put(k + ".p50", s.getMedian());
            all.put(k + ".p99", s.get99thPercentile());
            all.put(k + ".max", s.getMax());
        });
        List<String> lines = all.entrySet().stream()
                .map(e -> e.getKey() + " " + e.getValue())
                .toList();
        return result(lines, all);
    }

    private CommandResult trace(String requestId) {
        List<SpanData> spans = context.traces().of(requestId);
        if (spans.isEmpty()) {
            return CommandResult.refused("no spans of request " + requestId
                    + " are kept here; ask the entry that served it, or it is too old");
        }
        long start = spans.get(0).getStartEpochNanos();
        List<String> lines = spans.stream()
                .map(s -> String.format(
                        Locale.ROOT,
                        "+%d us  %d us  %s  trace %s span %s parent %s  %s",
                        (s.getStartEpochNanos() - start) / NANOS_PER_MICRO,
                        (s.getEndEpochNanos() - s.getStartEpochNanos()) / NANOS_PER_MICRO,
                        s.getName(),
                        s.getTraceId(),
                        s.getSpanId(),
                        s.getParentSpanId(),
                        attributes(s)))
                .toList();
        return result(lines, lines);
    }

    private static String attributes(SpanData s) {
        return s.getAttributes().asMap().entrySet().stream()
                .map(e -> e.getKey().getKey() + "=" + e.getValue())
                .collect(Collectors.joining(" "));
    }

    private CommandResult services() {
        List<ServiceRecord> all = List.copyOf(view().services().values());
        List<String> lines = all.stream()
                .map(s -> s.name() + "  budget " + s.budget() + "  reserve "
                        + s.reserve().name().toLowerCase(Locale.ROOT) + " (keeps "
                        + MemberReconciler.minAvailable(view(), s) + ")  members "
                        + s.members().size() + "  out on purpose "
                        + s.permits().keySet() + (s.retired() ? "  retired" : "") + "  set by " + s.operator())
                .toList();
        return result(lines, all);
    }

    private CommandResult pools() {
        List<PoolRecord> all = List.copyOf(view().pools().values());
        List<String> lines = all.stream()
                .map(p -> p.name() + "  service " + (p.service() == null ? "none, spare" : p.service()) + "  site "
                        + p.site() + "  " + stateCounts(p.name()) + (p.retired() ? "  retired" : ""))
                .toList();
        return result(lines, all);
    }

    private String stateCounts(String pool) {
        Map<InstanceState, Long> counts = view().instances().values().stream()
                .filter(i -> i.pool().equals(pool))
                .collect(Collectors.groupingBy(InstanceRecord::state, TreeMap::new, Collectors.counting()));
        return counts.isEmpty() ? "empty" : counts.toString();
    }

    private CommandResult instances(@Nullable String pool) {
        List<InstanceRecord> all = view().instances().values().stream()
                .filter(i -> pool == null || pool.equals(i.pool()))
                .toList();
        return result(all.stream().map(QuestionAnswerer::describe).toList(), all);
    }

    private static String describe(InstanceRecord i) {
        return i.id() + "  pool " + i.pool() + "  " + i.state() + "  hall " + i.hall() + "  rack " + i.rack() + "  "
                + i.address() + "  slots " + i.slots() + "  incarnation " + i.incarnation()
                + (i.wave() == null ? "" : "  for wave " + i.wave());
    }

    private CommandResult explain(String id) {
        InstanceRecord i = view().instances().get(id);
        if (i == null) {
            return CommandResult.refused("there is no instance " + id);
        }
        List<String> lines = new ArrayList<>();
        lines.add(describe(i));
        lines.add(describeState(i));
        view().serviceOf(i).ifPresent(s -> {
            Permit p = s.permits().get(id);
            lines.add("service " + s.name() + ": budget " + s.budget() + ", "
                    + s.members().size() + " members, "
                    + s.permits().size() + " out on purpose"
                    + (s.members().contains(id) ? "" : "; this instance is not counted yet")
                    + (p == null ? "" : "; this one by wave " + p.wave()));
        });
        view().waves().values().stream()
                .filter(w -> !w.state().ended() && w.targets(id))
                .forEach(w -> lines.add("wave " + w.name() + " is " + w.state() + " (" + w.reason() + "), "
                        + (i.isDoneBy(w.name()) ? "done with this instance" : "has it still to do")));
        lines.add("waves that finished with it: " + i.doneWaves());
        return result(lines, i);
    }

    private static String describeState(InstanceRecord i) {
        return switch (i.state()) {
            case IN_SERVICE -> "takes new work";
            case LEAVING -> "gets no new work; waits until all entries have confirmed that and its worker is idle";
            case REBOOTING -> "idle and being rebooted; back once its worker answers as a new incarnation";
            case RETURNING -> "is put back into service; waits for its worker to take work again";
            case RETIRED -> "was taken out of the fleet";
        };
    }

    private CommandResult plan(WavePlan plan) {
        List<String> lines = new ArrayList<>();
        lines.add(plan.moves() + " moves in " + plan.rounds() + " rounds, about "
                + plan.expectedMillis() / 1_000 + " s at 120 s a round; at most " + plan.maxConcurrent()
                + " out at once; reserve held " + plan.reserve());
        plan.steps()
                .forEach(s -> lines.add("round " + s.round() + "  " + s.target().instance() + "  " + s.reason()));
        plan.blockers().forEach(b -> lines.add("blocked: " + b));
        return result(lines, plan);
    }

    private CommandResult waves() {
        List<WaveRecord> all = List.copyOf(view().waves().values());
        return result(all.stream().map(this::describe).toList(), all);
    }

    private String describe(WaveRecord w) {
        long done = w.targets().stream().filter(t -> isDone(t, w)).count();
        return w.name() + "  " + w.state() + "  " + done + " of " + w.targets().size() + " done  " + w.reason()
                + "  last steered by " + w.operator();
    }

    private boolean isDone(WaveTarget t, WaveRecord w) {
        InstanceRecord i = view().instances().get(t.instance());
        return i == null || i.state() == InstanceState.RETIRED || i.isDoneBy(w.name());
    }

    private CommandResult wave(String name) {
        WaveRecord w = view().waves().get(name);
        if (w == null) {
            return CommandResult.refused("there is no wave " + name);
        }
        List<String> lines = new ArrayList<>();
        lines.add(describe(w));
        for (WaveTarget t : w.targets()) {
            InstanceRecord i = view().instances().get(t.instance());
            if (i != null) {
                lines.add(t.instance() + "  "
                        + (isDone(t, w) ? "done" : i.state().toString()) + "  " + describeWait(w, t, i));
            }
        }
        return result(lines, w);
    }

    private String describeWait(WaveRecord w, WaveTarget t, InstanceRecord i) {
        if (isDone(t, w)) {
            return "";
        }
        if (i.state() != InstanceState.IN_SERVICE) {
            return describeState(i);
        }
        if (!w.state().takesOut()) {
            return "stays: the wave is " + w.state();
        }
        return view().serviceOf(i)
                .map(s ->
                        "waits for its turn: service " + s.name() + " keeps " + MemberReconciler.minAvailable(view(), s)
                                + ", " + s.available(java.util.Set.of()) + " available")
                .orElse("waits for its turn");
    }
}
