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

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.lupinpaddle.core.command.CommandParser;
import org.lupinpaddle.core.command.OperatorCommand;
import org.lupinpaddle.daemon.common.Log;

/** Parses a command and dispatches it to {@link QuestionAnswerer} or {@link ChangeExecutor}. */
public final class CommandRunner implements CommandExecutor {

    private final QuestionAnswerer questionAnswerer;
    private final ChangeExecutor changeExecutor;

    /** Creates the runner. */
    public CommandRunner(QuestionAnswerer questionAnswerer, ChangeExecutor changeExecutor) {
        this.questionAnswerer = questionAnswerer;
        this.changeExecutor = changeExecutor;
    }

    @Override
    public void run(String commandLine, String operator, Consumer<CommandResult> onResult) {
        Either<String, OperatorCommand> command = CommandParser.parse(CommandParser.split(commandLine));
        if (command.isLeft()) {
            onResult.accept(CommandResult.refused(command.getLeft()));
        } else if (command.get() instanceof OperatorCommand.Question q) {
            onResult.accept(questionAnswerer.answer(q));
        } else if (command.get() instanceof OperatorCommand.Change c) {
            changeExecutor.execute(c, operator, result -> {
                Log.info("change", "operator", operator, "command", commandLine.strip(), "fate", result.fate());
                onResult.accept(result);
            });
        }
    }
}
