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

import com.fasterxml.jackson.databind.node.NullNode;
import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import java.util.function.Consumer;
import org.lupinpaddle.core.command.OperatorCommand.Change;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.config.ConfigSync;
import org.lupinpaddle.daemon.platform.Platform.Swap;
import org.lupinpaddle.daemon.platform.StoreWriter;
import org.lupinpaddle.daemon.platform.WriteResult;

/**
 * Executes the changes that operators request. Each change is one compare-and-swap against the current view,
 * prepared by {@link ChangePlanner}. After a conflict, the change is planned again on the refreshed view: if
 * only a step of a wave driver intervened, the change is still valid and is retried; if another operator's
 * change intervened, the refusal names that operator.
 */
public final class ChangeExecutor {

    // A few attempts suffice even for a record that wave drivers write often; more would hide a bug.
    private static final int MAX_ATTEMPTS = 8;
    private static final long TIMEOUT_MILLIS = 9_000;
    private static final int RETRY_AFTER_SECONDS = 5;

    private final ConfigSync config;
    private final StoreWriter writer;
    private final EventLoop loop;

    /** Creates the executor. */
    public ChangeExecutor(ConfigSync config, StoreWriter writer, EventLoop loop) {
        this.config = config;
        this.writer = writer;
        this.loop = loop;
    }

    /** Executes a change for an operator. The result arrives within the timeout even if the store hangs. */
    public void execute(Change change, String operator, Consumer<CommandResult> onResult) {
        if (!config.hasConfiguration() || !config.platformOk()) {
            onResult.accept(result(
                    CommandResult.REFUSED,
                    "the platform does not answer, nothing was written; come back in " + RETRY_AFTER_SECONDS + " s"));
            return;
        }
        Attempt a = new Attempt(change, operator, onResult);
        loop.after(TIMEOUT_MILLIS, () -> timeOut(a));
        // The operator may have just made another change on a different entry, so plan on the current state of the
        // store.
        config.refresh(() -> attempt(a, 1));
    }

    private void timeOut(Attempt a) {
        if (a.sent) {
            a.answer(result(
                    CommandResult.UNKNOWN,
                    "the store did not say whether this was written; ask what is in force when it is back"));
        } else {
            a.answer(result(
                    CommandResult.REFUSED,
                    "the store does not answer, nothing was written; come back in " + RETRY_AFTER_SECONDS + " s"));
        }
    }

    /** A change in progress; its result is delivered exactly once. */
    private static final class Attempt {
        private final Change change;
        private final String operator;
        private final Consumer<CommandResult> onResult;
        private boolean sent;
        private boolean answered;

        private Attempt(Change change, String operator, Consumer<CommandResult> onResult) {
            this.change = change;
            this.operator = operator;
            this.onResult = onResult;
        }

        private void answer(CommandResult result) {
            if (!answered) {
                answered = true;
                onResult.accept(result);
            }
        }
    }

    private void attempt(Attempt a, int attemptNumber) {
        if (a.answered) {
            return;
        }
        String writeId = UUID.randomUUID().toString();
        ChangePlanner planner = new ChangePlanner(config.view(), a.operator, writeId);
        Either<String, ChangePlanner.PlannedWrite> plan = planner.plan(a.change);
        if (plan.isLeft()) {
            a.answer(result(CommandResult.REFUSED, plan.getLeft()));
            return;
        }
        ChangePlanner.PlannedWrite d = plan.get();
        Swap swap = new Swap(d.key(), d.value(), config.view().revisionOf(d.key()), 0);
        a.sent = true;
        writer.write(swap, writeId, r -> {
            switch (r.fate()) {
                case ACCEPTED -> accepted(a, d, r);
                case REFUSED -> refused(a, attemptNumber);
                case UNKNOWN ->
                    a.answer(result(
                            CommandResult.UNKNOWN,
                            "the store did not say whether this was written; ask what is in force when it is back"));
            }
        });
    }

    private void accepted(Attempt a, ChangePlanner.PlannedWrite d, WriteResult r) {
        CommandResult result = new CommandResult(
                CommandResult.ACCEPTED,
                r.revision(),
                List.of(d.text() + ", at revision " + r.revision()),
                NullNode.getInstance());
        config.refresh(() -> a.answer(result));
    }

    private void refused(Attempt a, int attemptNumber) {
        a.sent = false;
        if (attemptNumber >= MAX_ATTEMPTS) {
            a.answer(result(CommandResult.REFUSED, "others keep changing this record; try again"));
        } else {
            loop.execute(() -> config.refresh(() -> attempt(a, attemptNumber + 1)));
        }
    }

    private CommandResult result(String fate, String line) {
        return CommandResult.of(fate, config.view().revision(), line);
    }
}
